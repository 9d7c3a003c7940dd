#pragma once

#include "caller_exchange.hpp"

#include "quincewing/http/message_reader.hpp"
#include "quincewing/net/event_loop.hpp"
#include "quincewing/routing/configuration.hpp"

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>

struct bufferevent;

namespace quincewing {

struct caller_connection_options
{
    caller_limits limits;
    /// Bytes of answers that wait in this host for a slow caller.
    std::size_t answer_buffer{};
    /// Requests of one connection that are served at the same time.
    std::size_t max_concurrent_requests{8};
};

struct caller_connection_hooks
{
    /// Serves a request.
    std::function<void(const caller_exchange_ptr&)> on_request;
    /// Whether a request may be served while those before it on its connection are.
    std::function<bool(const message_head&)> may_run_concurrently;
    /// The connection is over and may be destroyed, later.
    std::function<void(caller_connection*)> on_closed;
    /// The host stops: answers tell the caller to open a new connection.
    std::function<bool()> stopping;
};

/// A caller's connection: requests one after the other, answers in the same order.
class caller_connection
{
public:
    caller_connection(event_loop& loop, int fd, caller_connection_options options,
                      caller_connection_hooks hooks);
    ~caller_connection();
    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;

    /// Ends the connection if no request was on it for this long.
    void close_if_idle(instant now, duration idle_for);
    /// Ends what was idle, or slow with its request's head, for too long.
    void check_timeouts(instant now);

private:
    friend class caller_exchange;

    void on_readable();
    bool on_head(message_head& head);
    void on_body(const char* buf, std::size_t n);
    void on_request_end();
    void reject(int status);
    void start_requests();
    void flush_responses();
    void finish_first_exchange();
    [[nodiscard]] std::size_t buffered_bytes() const;
    void close();
    void pause_reading_if_full();

    event_loop& loop_;
    caller_connection_options options_;
    caller_connection_hooks hooks_;
    bufferevent* bev_;
    message_reader reader_;
    std::deque<caller_exchange_ptr> exchanges_;
    caller_exchange_ptr receiving_;
    instant idle_since_;
    instant head_since_{};
    bool reading_{true};
    bool no_more_requests_{};
    bool closing_{};
    /// An orderly end would make an answer that broke off look whole.
    bool reset_{};
    bool flushing_{};
};

} // namespace quincewing
