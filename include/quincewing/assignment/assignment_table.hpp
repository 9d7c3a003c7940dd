#pragma once

#include "quincewing/routing/backend_server.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace quincewing {

/// A key of a keyed service.
using key_number = std::uint16_t;
constexpr std::uint32_t key_count = 65536;

/// Keys from first to last, both inside.
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

/// One start of a backend server, as the holder of keys.
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

/// Who holds a range of keys, and under which fence.
struct assigned_range
{
    service_id service;
    key_range keys;
    key_holder owner;
    std::uint64_t fence{};
    /// Held the keys before; none once it is proved that it does not any more.
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

/// The one record that says who coordinates and who holds which keys.
struct assignment_table
{
    std::uint64_t term{};
    /// Counts the changes of the record.
    std::uint64_t revision{};
    /// The coordinator's process; empty when it has stopped in order.
    host_id coordinator;
    /// The largest fence that was ever used.
    std::uint64_t last_fence{};
    /// By service and first key; ranges of a service do not overlap.
    std::vector<assigned_range> ranges;

    /// The range that holds the key; nullptr when nobody was given it yet.
    [[nodiscard]] const assigned_range* find(const service_id& service, key_number key) const;
    template <class F>
    void each_field(F&& f)
    {
        f(term);
        f(revision);
        f(coordinator);
        f(last_fence);
        f(ranges);
    }
};

std::string encode_table(const assignment_table& it);
tl::expected<assignment_table, std::string> decode_table(std::string_view buf);

} // namespace quincewing
