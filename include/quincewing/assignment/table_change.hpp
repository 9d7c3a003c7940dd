#pragma once

#include "quincewing/assignment/assignment_table.hpp"

#include <optional>

namespace quincewing {

/// Names a range of a table.
struct range_start
{
    service_id service;
    key_number first{};

    auto operator<=>(const range_start&) const = default;
    template <class F>
    void each_field(F&& f)
    {
        f(service);
        f(first);
    }
};

/// What makes one state of the table out of an earlier one.
struct table_change
{
    std::uint64_t from_term{};
    std::uint64_t from_revision{};
    /// The new state without its ranges.
    assignment_table head;
    /// Ranges that begin where none does in the new state.
    std::vector<range_start> gone;
    std::vector<assigned_range> changed;

    template <class F>
    void each_field(F&& f)
    {
        f(from_term);
        f(from_revision);
        f(head);
        f(gone);
        f(changed);
    }
};

table_change diff_tables(const assignment_table& from, const assignment_table& to);

/// The new state; nothing when the change was made from another state than this.
std::optional<assignment_table> apply_table_change(const assignment_table& from,
                                                   const table_change& it);

} // namespace quincewing
