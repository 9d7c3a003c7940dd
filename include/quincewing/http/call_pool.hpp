#pragma once

#include "quincewing/http/client_connection.hpp"
#include "quincewing/http/http_call.hpp"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace quincewing {

struct call_pool_options
{
    /// Connections to one address; calls beyond this are queued.
    std::size_t max_connections{4};
    /// Connections idle for longer are closed.
    duration max_idle{seconds{8}};
    /// Largest response head and body in bytes; a longer one ends the call without an answer.
    std::size_t max_response_head{16UL * 1024};
    std::size_t max_response_size{64UL * 1024};
    /// The ip that connections leave from; empty: the system's choice.
    std::string from;
};

/// Sends control calls over persistent HTTP/1.1 connections. A call that times out resets its
/// connection, which discards bytes that are still in flight.
class call_pool
{
public:
    call_pool(event_loop& loop, call_pool_options options);
    ~call_pool();
    call_pool(const call_pool&) = delete;
    call_pool& operator=(const call_pool&) = delete;

    /// Queues the call. done is invoked once, never before this function returns.
    void call(http_request request, std::function<void(const http_answer&)> done);
    /// Resets a connection on which no call is under way.
    void close(const std::string& address, std::uint64_t connection);
    /// Sets the function that is called when a connection has ended.
    void set_on_closed(std::function<void(std::uint64_t connection)> hook)
    {
        on_closed_ = std::move(hook);
    }

private:
    struct pooled_connection;
    struct pending_call
    {
        http_request request;
        std::function<void(const http_answer&)> done;
        instant deadline;
    };
    struct address_state
    {
        std::vector<std::unique_ptr<pooled_connection>> connections;
        std::deque<pending_call> pending;
    };

    void remove(const pooled_connection& it);
    static bool may_carry(const pooled_connection& it, const http_request& request);
    static void end_expired(std::deque<pending_call>& pending);
    void start_pending(const std::string& address);
    void start(pooled_connection& it, pending_call call);
    void finish(pooled_connection& it, const http_answer& answer, bool keep);
    void remove_expired();

    event_loop& loop_;
    call_pool_options options_;
    std::function<void(std::uint64_t)> on_closed_;
    std::uint64_t last_connection_number_{};
    std::map<std::string, address_state> addresses_;
    /// Destroyed later, as a connection must not be destroyed inside its hooks.
    std::vector<std::unique_ptr<pooled_connection>> closed_;
    timer cleanup_timer_;
    timer start_timer_;
};

} // namespace quincewing
