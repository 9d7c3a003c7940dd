#include "quincewing/assignment/table_change.hpp"

#include <algorithm>
#include <map>
#include <tuple>

namespace quincewing {

namespace {

range_start key_of(const assigned_range& it)
{
    return {it.service, it.keys.first};
}

} // namespace

table_change diff_tables(const assignment_table& from, const assignment_table& to)
{
    table_change out{.from_term = from.term, .from_revision = from.revision};
    out.head = {.term = to.term,
                .revision = to.revision,
                .coordinator = to.coordinator,
                .last_fence = to.last_fence};
    std::map<range_start, const assigned_range*> before;
    for (const auto& it : from.ranges) {
        before[key_of(it)] = &it;
    }
    for (const auto& it : to.ranges) {
        const auto found = before.find(key_of(it));
        if (found == before.end() || *found->second != it) {
            out.changed.push_back(it);
        }
        if (found != before.end()) {
            before.erase(found);
        }
    }
    for (const auto& [key, range] : before) {
        out.gone.push_back(key);
    }
    return out;
}

std::optional<assignment_table> apply_table_change(const assignment_table& from,
                                                   const table_change& it)
{
    if (from.term != it.from_term || from.revision != it.from_revision) {
        return {};
    }
    std::map<range_start, const assigned_range*> ranges;
    for (const auto& range : from.ranges) {
        ranges[key_of(range)] = &range;
    }
    for (const auto& key : it.gone) {
        ranges.erase(key);
    }
    for (const auto& range : it.changed) {
        ranges[key_of(range)] = &range;
    }
    auto out = it.head;
    out.ranges.reserve(ranges.size());
    for (const auto& [key, range] : ranges) {
        out.ranges.push_back(*range);
    }
    return out;
}

} // namespace quincewing
