#include "quincewing/assignment/table_change.hpp"

#include <algorithm>
#include <map>
#include <tuple>

namespace quincewing {

namespace {

range_id id_of(const assigned_range& range)
{
    return {range.service, range.keys.first};
}

bool fences_follow(std::uint64_t fence, const std::vector<assigned_range>& ranges)
{
    return !ranges.empty() && std::all_of(ranges.begin(), ranges.end(),
                                          [&](const auto& it) { return it.fence == ++fence; });
}

bool differ(const assigned_range& a, const assigned_range& b, bool with_fence)
{
    return a.service != b.service || a.keys != b.keys || a.owner != b.owner ||
           a.previous_owner != b.previous_owner || (with_fence && a.fence != b.fence);
}

} // namespace

table_change diff_tables(const assignment_table& from, const assignment_table& to,
                         renewal_form form)
{
    table_change out{.from_term = from.term, .from_revision = from.revision, .from_era = from.era};
    const bool renewed = form == renewal_form::consecutive && from.last_fence != 0 &&
                         fences_follow(from.last_fence, to.ranges);
    out.fences_after = renewed ? from.last_fence : 0;
    out.head = {.term = to.term,
                .revision = to.revision,
                .coordinator = to.coordinator,
                .last_fence = to.last_fence,
                .era = to.era,
                .unsettled = to.unsettled,
                .given_up_early = to.given_up_early};
    std::map<range_id, const assigned_range*> before;
    for (const auto& range : from.ranges) {
        before[id_of(range)] = &range;
    }
    for (const auto& range : to.ranges) {
        const auto found = before.find(id_of(range));
        if (found == before.end() || differ(*found->second, range, !renewed)) {
            out.changed.push_back(range);
        }
        if (found != before.end()) {
            before.erase(found);
        }
    }
    for (const auto& [id, range] : before) {
        out.removed.push_back(id);
    }
    return out;
}

std::optional<assignment_table> apply_table_change(const assignment_table& from,
                                                   const table_change& change)
{
    if (from.term != change.from_term || from.revision != change.from_revision ||
        from.era != change.from_era) {
        return {};
    }
    std::map<range_id, const assigned_range*> ranges;
    for (const auto& range : from.ranges) {
        ranges[id_of(range)] = &range;
    }
    for (const auto& id : change.removed) {
        ranges.erase(id);
    }
    for (const auto& range : change.changed) {
        ranges[id_of(range)] = &range;
    }
    auto out = change.head;
    out.ranges.reserve(ranges.size());
    for (const auto& [id, range] : ranges) {
        out.ranges.push_back(*range);
    }
    if (auto fence = change.fences_after; fence != 0) {
        for (auto& range : out.ranges) {
            range.fence = ++fence;
        }
    }
    return out;
}

} // namespace quincewing
