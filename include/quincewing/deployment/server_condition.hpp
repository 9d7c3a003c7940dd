#pragma once

#include "quincewing/base/request_rate.hpp"
#include "quincewing/routing/backend_server.hpp"

#include <cstdint>
#include <vector>

namespace quincewing {

/// What a process of a backend server last said of itself, as one host tells it to another.
struct server_condition
{
    server_id server;
    server_start start;
    /// The rate that it takes from all hosts together; 0: it names none.
    request_rate rate_limit;
    /// It stops soon.
    bool leaving{};
    /// Microseconds since the answer that said so.
    std::uint64_t age{};

    template <class F>
    void each_field(F&& f)
    {
        f(server);
        f(start);
        f(rate_limit);
        f(age);
        f(leaving);
    }
};

/// Digest of all that the sender knows of what servers say of themselves.
struct server_condition_digest
{
    std::uint64_t value{};

    template <class F>
    void each_field(F&& f)
    {
        f(value);
    }
};

/// Asks the receiver for all that it knows.
struct server_condition_request
{
    bool wanted{true};

    template <class F>
    void each_field(F&& f)
    {
        f(wanted);
    }
};

struct server_condition_report
{
    std::vector<server_condition> servers;

    template <class F>
    void each_field(F&& f)
    {
        f(servers);
    }
};

} // namespace quincewing
