#pragma once

#include "quincewing/routing/backend_server.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace quincewing {

/// A key of a keyed service, below key_count. A key is owned by at most one server at a time.
using key_number = std::uint16_t;
constexpr std::uint32_t key_count = 65536;

/// Keys from first to last, both inclusive.
struct key_range
{
    key_number first{};
    key_number last{};

    auto operator<=>(const key_range&) const = default;
    [[nodiscard]] bool contains(key_number key) const { return first <= key && key <= last; }
    [[nodiscard]] std::uint32_t size() const { return std::uint32_t{last} - first + 1U; }
    template <class F>
    void each_field(F&& f)
    {
        f(first);
        f(last);
    }
};

/// As "first-last".
std::string to_string(const key_range& it);

/// One process of a backend server that holds keys. A restart changes `start`, and with it the
/// holder.
struct key_holder
{
    server_id id;
    server_start start;
    std::string address;

    auto operator<=>(const key_holder&) const = default;
    [[nodiscard]] bool empty() const { return id.value.empty(); }
    template <class F>
    void each_field(F&& f)
    {
        f(id);
        f(start);
        f(address);
    }
};

/// The owner of a range of keys, with the fencing token of its grants. A server refuses calls on
/// keys for which it has seen a higher fence.
struct assigned_range
{
    service_id service;
    key_range keys;
    key_holder owner;
    std::uint64_t fence{};
    /// Owner before the last move. Empty once it is known that it no longer holds the keys.
    key_holder previous_owner;

    bool operator==(const assigned_range&) const = default;
    template <class F>
    void each_field(F&& f)
    {
        f(service);
        f(keys);
        f(owner);
        f(fence);
        f(previous_owner);
    }
};

/// The record in the store that names the coordinator and the owner of every key.
struct assignment_table
{
    std::uint64_t term{};
    /// Grows by one with each stored version of the table.
    std::uint64_t revision{};
    /// The coordinator's process; empty after an orderly stop.
    host_id coordinator;
    /// The highest fence issued so far.
    std::uint64_t last_fence{};
    /// Sorted by service and first key; the ranges of a service do not overlap.
    std::vector<assigned_range> ranges;
    /// Era of the store in which this version was stored; 0 if the store or the writer knows none.
    store_era era;
    /// Grants that the store's copy knows nothing of may still be in force.
    bool unsettled{};
    /// The last coordinator gave its term up while grants of earlier ones may have been in force.
    bool given_up_early{};

    bool operator==(const assignment_table&) const = default;
    /// The range that contains the key; nullptr if the key was never assigned.
    [[nodiscard]] const assigned_range* find(const service_id& service, key_number key) const;
    /// The ranges that have some of the keys; if there are none, empty, at the place where a range
    /// with these keys belongs.
    [[nodiscard]] std::span<const assigned_range> overlapping(const service_id& service,
                                                              key_range keys) const;
    template <class F>
    void each_field(F&& f)
    {
        f(term);
        f(revision);
        f(coordinator);
        f(last_fence);
        f(ranges);
        f(era);
        f(unsettled);
        f(given_up_early);
    }
};

/// Whether `a` was stored before `b`. Terms and revisions compare within an era only.
bool older(const assignment_table& a, const assignment_table& b);

std::string encode_table(const assignment_table& table);
tl::expected<assignment_table, std::string> decode_table(std::string_view data);

} // namespace quincewing
