#pragma once

#include "quincewing/assignment/assignment_table.hpp"

#include <optional>

namespace quincewing {

/// Identifies a range within one table.
struct range_id
{
    service_id service;
    key_number first{};

    auto operator<=>(const range_id&) const = default;
    template <class F>
    void each_field(F&& f)
    {
        f(service);
        f(first);
    }
};

/// Difference between two versions of the table.
struct table_change
{
    std::uint64_t from_term{};
    std::uint64_t from_revision{};
    /// The new version without its ranges.
    assignment_table head;
    /// Old ranges at whose first key no new range begins.
    std::vector<range_id> removed;
    /// New ranges that differ from the old one at the same first key, or have none there.
    std::vector<assigned_range> changed;
    /// If it is not 0, the fences of all new ranges follow this one in the order of the ranges, and
    /// `changed` is to be read without its fences. Not understood by hosts that speak 1.
    std::uint64_t fences_after{};
    store_era from_era;

    template <class F>
    void each_field(F&& f)
    {
        f(from_term);
        f(from_revision);
        f(head);
        f(removed);
        f(changed);
        f(fences_after);
        f(from_era);
    }
};

/// How a change is told that gives every range a new fence, as a new term does.
enum class renewal_form
{
    /// By the fence before them.
    consecutive,
    each_range
};

table_change diff_tables(const assignment_table& from, const assignment_table& to,
                         renewal_form form = renewal_form::consecutive);

/// The new version; nullopt if `from` is not the version that the change is based on.
std::optional<assignment_table> apply_table_change(const assignment_table& from,
                                                   const table_change& change);

} // namespace quincewing
