#pragma once

#include "quincewing/base/ids.hpp"
#include "quincewing/base/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace quincewing {

/// A request that asks for a place at a backend server: who asks, and its number there.
struct dispatch_ticket
{
    host_id host;
    std::uint64_t number{};

    auto operator<=>(const dispatch_ticket&) const = default;
    template <class F>
    void each_field(F&& f)
    {
        f(host);
        f(number);
    }
};

/// What a place is wanted for.
struct dispatch_request
{
    service_id service;
    /// The only server that may run it; empty when any server of the service may.
    server_id required_server;
    /// Servers that have had it already.
    std::vector<server_id> excluded_servers;
    data_centre_id data_centre;
    /// 0 is the most urgent.
    std::uint32_t priority{};
    /// Tells kinds of requests apart that compete for the same servers.
    std::uint64_t traffic_class{};
    /// Microseconds until an answer loses part of its use; may be over.
    std::int64_t objective_left{};
    /// Microseconds until an answer is of no use.
    std::int64_t time_left{};
    /// Bytes that the answer is likely to have.
    std::uint64_t answer_bytes{};

    template <class F>
    void each_field(F&& f)
    {
        f(service);
        f(required_server);
        f(excluded_servers);
        f(data_centre);
        f(priority);
        f(objective_left);
        f(time_left);
        f(answer_bytes);
        f(traffic_class);
    }
};

/// How a place was used.
enum class attempt_outcome : std::uint8_t
{
    answered,
    /// The server answered that it failed.
    failed,
    /// The server had no room, or said that it did not run the request.
    rejected,
    /// No answer: the connection was refused or broke.
    connection_lost,
    /// The caller left, or the place was not used.
    unused
};

/// What the asking host saw of the server.
struct attempt_report
{
    attempt_outcome outcome{attempt_outcome::unused};
    /// Microseconds from sending to the answer.
    std::uint64_t took{};
    /// Requests at the server as it said itself; -1 when it did not.
    std::int32_t running{-1};
    std::int32_t waiting{-1};

    template <class F>
    void each_field(F&& f)
    {
        f(outcome);
        f(took);
        f(running);
        f(waiting);
    }
};

} // namespace quincewing
