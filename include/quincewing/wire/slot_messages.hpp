#pragma once

#include "quincewing/dispatch/dispatch_request.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace quincewing {

/// Asks the dispatcher of a group for a place at a server.
struct place_request
{
    std::uint64_t number{};
    dispatch_request request;

    template <class F>
    void each_field(F&& f)
    {
        f(number);
        f(request);
    }
};

/// The dispatcher has the request and no place for it yet.
struct place_queued
{
    std::uint64_t number{};

    template <class F>
    void each_field(F&& f)
    {
        f(number);
    }
};

struct place_given
{
    std::uint64_t number{};
    server_id server;

    template <class F>
    void each_field(F&& f)
    {
        f(number);
        f(server);
    }
};

struct place_refused
{
    std::uint64_t number{};
    /// Microseconds after which room is expected.
    std::uint64_t retry_after{};
    std::string reason;

    template <class F>
    void each_field(F&& f)
    {
        f(number);
        f(retry_after);
        f(reason);
    }
};

/// The place is free again, or not wanted any more.
struct place_done
{
    std::uint64_t number{};
    /// Where the request belongs, so that the dispatcher of its group is found.
    service_id service;
    server_id only;
    attempt_report report;

    template <class F>
    void each_field(F&& f)
    {
        f(number);
        f(service);
        f(only);
        f(report);
    }
};

/// The sender takes no new requests for a place: it stops, or knows no servers yet.
struct place_declined
{
    std::uint64_t number{};

    template <class F>
    void each_field(F&& f)
    {
        f(number);
    }
};

/// All requests that the sender has at the receiver's dispatchers. Those that are not in the list
/// are done, and their places are free.
struct place_check
{
    std::vector<std::uint64_t> waiting;
    std::vector<std::uint64_t> granted;

    template <class F>
    void each_field(F&& f)
    {
        f(waiting);
        f(granted);
    }
};

/// Answer to a place_check: which of the waiting requests the dispatchers do not have.
struct place_check_result
{
    std::vector<std::uint64_t> unknown;

    template <class F>
    void each_field(F&& f)
    {
        f(unknown);
    }
};

} // namespace quincewing
