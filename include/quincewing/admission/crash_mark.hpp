#pragma once

#include "quincewing/base/strong.hpp"

#include <cstdint>
#include <vector>

namespace quincewing {

/// One process of a backend server, by a hash that is equal on all hosts.
using server_process = strong<struct server_process_tag, std::uint64_t>;

/// A server's process that seemed to crash while a request was in flight there.
struct crash_mark
{
    std::uint64_t fingerprint{};
    server_process process;
    /// No other request was in flight at the server.
    bool alone{};
    /// The process or the request was answered afterwards: the request did not crash it.
    bool disproved{};
    /// Microseconds since then.
    std::uint64_t age{};
    /// Microseconds for which the request had been at the server.
    std::uint64_t ran_for{};

    template <class F>
    void each_field(F&& f)
    {
        f(fingerprint);
        f(process);
        f(alone);
        f(disproved);
        f(age);
        f(ran_for);
    }
};

/// Crash marks that one host tells another.
struct crash_report
{
    std::vector<crash_mark> marks;
    /// The sender asks for all marks of the receiver.
    bool wants_all{};

    template <class F>
    void each_field(F&& f)
    {
        f(marks);
        f(wants_all);
    }
};

/// Digest of all crash marks that the sender knows.
struct crash_digest
{
    std::uint64_t value{};

    template <class F>
    void each_field(F&& f)
    {
        f(value);
    }
};

} // namespace quincewing
