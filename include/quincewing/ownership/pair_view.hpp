#pragma once

#include "quincewing/base/ids.hpp"

#include <cstdint>
#include <utility>

namespace quincewing {

/// A pair as known to one of its members. The log's term counts logged changes; round counts
/// the changes made since then without the log.
struct pair_view
{
    host_id leader;
    host_id standby;
    std::uint64_t term{};
    std::uint32_t round{};

    template <class F>
    void each_field(F&& f)
    {
        f(leader);
        f(standby);
        f(term);
        f(round);
    }
    bool operator==(const pair_view&) const = default;
    [[nodiscard]] std::pair<std::uint64_t, std::uint32_t> version() const { return {term, round}; }
    [[nodiscard]] bool has(const host_id& host) const { return host == leader || host == standby; }
    [[nodiscard]] bool single_member() const { return leader == standby; }
};

} // namespace quincewing
