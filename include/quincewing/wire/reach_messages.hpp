#pragma once

#include "quincewing/base/ids.hpp"

#include <cstdint>
#include <vector>

namespace quincewing {

/// Whether the sender reaches backend servers.
struct host_reach
{
    /// It reaches no server of any service.
    bool cut_off{};
    /// The services of which it reaches no server. Earlier builds name none.
    std::vector<service_id> services;

    template <class F>
    void each_field(F&& f)
    {
        f(cut_off);
        f(services);
    }
};

/// The coordinator to another host: whether that one reaches servers that the sender does not.
struct reach_question
{
    std::vector<server_id> servers;

    template <class F>
    void each_field(F&& f)
    {
        f(servers);
    }
};

struct reach_result
{
    /// Servers that the sender does not reach either.
    std::uint32_t unreached{};

    template <class F>
    void each_field(F&& f)
    {
        f(unreached);
    }
};

} // namespace quincewing
