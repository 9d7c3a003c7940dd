#include "quincewing/assignment/assignment_table.hpp"

#include "quincewing/codec/codec.hpp"

#include <algorithm>
#include <tuple>

namespace quincewing {

std::string to_string(const key_range& it)
{
    return std::to_string(it.first) + "-" + std::to_string(it.last);
}

const assigned_range* assignment_table::find(const service_id& service, key_number key) const
{
    auto it = std::upper_bound(ranges.begin(), ranges.end(), std::tie(service, key),
                               [](const auto& wanted, const assigned_range& range) {
                                   return wanted < std::tie(range.service, range.keys.first);
                               });
    if (it == ranges.begin()) {
        return nullptr;
    }
    --it;
    return it->service == service && it->keys.contains(key) ? &*it : nullptr;
}

std::span<const assigned_range> assignment_table::overlapping(const service_id& service,
                                                              key_range keys) const
{
    const auto first = std::partition_point(ranges.begin(), ranges.end(), [&](const auto& it) {
        return std::tie(it.service, it.keys.last) < std::tie(service, keys.first);
    });
    const auto end = std::partition_point(first, ranges.end(), [&](const auto& it) {
        return std::tie(it.service, it.keys.first) <= std::tie(service, keys.last);
    });
    return {first, end};
}

bool older(const assignment_table& a, const assignment_table& b)
{
    // Builds that know no eras store 0.
    const bool known = a.era != store_era{} && b.era != store_era{};
    if (known && a.era != b.era) {
        return a.era < b.era;
    }
    return std::tie(a.term, a.revision) < std::tie(b.term, b.revision);
}

std::string encode_table(const assignment_table& table)
{
    return codec::encode(table);
}

tl::expected<assignment_table, std::string> decode_table(std::string_view data)
{
    return codec::decode<assignment_table>(data);
}

} // namespace quincewing
