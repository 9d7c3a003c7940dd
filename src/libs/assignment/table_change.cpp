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

} // namespace

table_change diff_tables(const assignment_table& from, const assignment_table& to)
{
    table_change out{.from_term = from.term, .from_revision = from.revision};
    out.head = {.term = to.term,
                .revision = to.revision,
                .coordinator = to.coordinator,
                .last_fence = to.last_fence};
    std::map<range_id, const assigned_range*> before;
    for (const auto& range : from.ranges) {
        before[id_of(range)] = &range;
    }
    for (const auto& range : to.ranges) {
        const auto found = before.find(id_of(range));
        if (found == before.end() || *found->second != range) {
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
    if (from.term != change.from_term || from.revision != change.from_revision) {
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
    return out;
}

} // namespace quincewing
