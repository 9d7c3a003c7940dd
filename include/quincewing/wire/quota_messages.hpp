#pragma once

#include "quincewing/dispatch/server_group.hpp"

#include <cstdint>
#include <vector>

namespace quincewing {

/// A dispatcher asks a host to lease it the host's quotas of the limits of these groups' servers.
/// It has stopped to use the host's quotas of all other groups.
struct quota_request
{
    std::uint64_t number{};
    /// Microseconds from the sending of this request for which the leases are to hold.
    std::uint64_t duration{};
    std::vector<server_group> groups;

    template <class F>
    void each_field(F&& f)
    {
        f(number);
        f(duration);
        f(groups);
    }
};

/// Answer to the quota_request of this number: the groups whose quotas are leased to its sender.
struct quota_reply
{
    std::uint64_t number{};
    std::vector<server_group> leased;

    template <class F>
    void each_field(F&& f)
    {
        f(number);
        f(leased);
    }
};

} // namespace quincewing
