#pragma once

#include "quincewing/base/ids.hpp"
#include "quincewing/base/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace quincewing {

/// Identifies a request for a slot: the entry host that sends it, and its number there.
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

/// A request for a slot at a backend server.
struct dispatch_request
{
    service_id service;
    /// The only server that may run it; empty when any server of the service may.
    server_id required_server;
    /// Servers to which it was already sent.
    std::vector<server_id> excluded_servers;
    data_centre_id data_centre;
    /// 0 is the most urgent.
    std::uint32_t priority{};
    /// Classes that compete for the same servers share them fairly.
    std::uint64_t traffic_class{};
    /// Microseconds until the latency objective, after which an answer loses part of its value;
    /// negative when that has passed.
    std::int64_t objective_left{};
    /// Microseconds until the deadline, after which an answer is of no use.
    std::int64_t time_left{};
    /// Expected size of the answer.
    std::uint64_t answer_bytes{};
    /// Key number plus one; 0: none, or a host that does not tell it.
    std::uint32_t key{};

    [[nodiscard]] std::optional<std::uint16_t> key_number() const
    {
        return key == 0 ? std::nullopt : std::optional{static_cast<std::uint16_t>(key - 1)};
    }
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
        f(key);
    }
};

/// How an attempt at a backend server ended.
enum class attempt_outcome : std::uint8_t
{
    answered,
    /// The server answered with an error of its own.
    failed,
    /// The server was at capacity, or said that it did not run the request.
    rejected,
    /// No answer: the connection was refused or broke.
    connection_lost,
    /// The caller left, or the slot was not used.
    unused,
    /// The host did not reach the server; that it failed at others too makes the server's state
    /// unknown.
    host_cut_off
};

/// What the entry host observed of the server during one attempt.
struct attempt_report
{
    attempt_outcome outcome{attempt_outcome::unused};
    /// Microseconds from sending to the answer.
    std::uint64_t took{};
    /// Requests at the server as it reported itself; -1 when it did not.
    std::int32_t running{-1};
    std::int32_t waiting{-1};
    /// Another host that did not reach the server either; empty if none was asked.
    host_id lost_by_other;
    /// How long work takes at the server now, in percent of usual, as it reported it; 0: it did
    /// not.
    std::uint32_t slowness{};

    template <class F>
    void each_field(F&& f)
    {
        f(outcome);
        f(took);
        f(running);
        f(waiting);
        f(lost_by_other);
        f(slowness);
    }
};

} // namespace quincewing
