#pragma once

#include "caller_exchange.hpp"
#include "http_status.hpp"

#include "quincewing/admission/connection_budget.hpp"
#include "quincewing/admission/memory_usage.hpp"
#include "quincewing/http/message_reader.hpp"
#include "quincewing/net/event_loop.hpp"
#include "quincewing/routing/configuration.hpp"

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

struct bufferevent;

namespace quincewing {

struct caller_connection_options
{
    memory_holder id;
    /// The caller's IP address.
    std::string caller;
    caller_limits limits;
    /// Bytes of responses that are buffered for a slow caller.
    std::size_t answer_buffer{};
    /// Requests that may be outstanding on one connection; further ones are not parsed yet.
    std::size_t max_concurrent_requests{8};
};

struct caller_connection_hooks
{
    /// Handles a complete request.
    std::function<void(const caller_exchange_ptr&)> on_request;
    /// Whether a request may run concurrently with others of its connection.
    std::function<bool(const message_head&)> may_run_concurrently;
    /// The connection is closed. It must be destroyed after the hook has returned, not inside it.
    std::function<void(caller_connection*)> on_closed;
    /// Whether the host is shutting down: connections then end with "Connection: close" after the
    /// last request that was started.
    std::function<bool()> stopping;
    /// Reports what the connection holds. Returns whether more of a body may be read; if not,
    /// reading ends until resume_reading().
    std::function<bool(caller_connection&)> may_read;
    /// Whether there is memory for one more body.
    std::function<bool()> has_room;
};

/// A connection from a caller. Responses are sent in the order of the requests.
class caller_connection
{
public:
    caller_connection(event_loop& loop, int fd, caller_connection_options options,
                      caller_connection_hooks hooks);
    ~caller_connection();
    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;

    /// Closes the connection if it has been without a request for longer than idle_for.
    void close_if_idle(instant now, duration idle_for);
    /// Closes the connection after the idle timeout and rejects a request whose head takes longer
    /// than the head timeout.
    void check_timeouts(instant now);
    [[nodiscard]] memory_holder id() const { return options_.id; }
    [[nodiscard]] memory_usage usage() const;
    /// Reads on after may_read has returned false.
    void resume_reading();
    /// Refuses the request that is being received, and closes the connection after the answer.
    void refuse_unfinished(int status);
    /// Ends the connection without an answer.
    void abandon() { close(); }
    /// Set if no request was received that has no complete answer, and none is being received
    /// beyond its head.
    [[nodiscard]] std::optional<quiet_connection> quiet() const;
    /// Bytes of responses that have not left the process yet.
    [[nodiscard]] std::size_t buffered_bytes() const;
    /// The same, and those in the system's buffer that the caller has not acknowledged.
    [[nodiscard]] std::size_t unsent_bytes() const;

private:
    friend class caller_exchange;

    void on_readable();
    void read_requests();
    bool on_head(message_head& head);
    void on_body(const char* buf, std::size_t n);
    void on_request_end();
    void reject(int status, const header_list& headers = {});
    void report_usage();
    void append_to_body(const char* buf, std::size_t n);
    void start_requests();
    /// Whether the response to this request closes the connection because the host stops.
    [[nodiscard]] bool closes_after(const caller_exchange& it);
    [[nodiscard]] bool started_behind(const caller_exchange& it) const;
    void flush_responses();
    void finish_first_exchange();
    /// No request is being received or handled, and all responses are sent.
    [[nodiscard]] bool idle() const;
    void finish_sending();
    void close(disconnect_cause cause = disconnect_cause::closed_by_host);
    void pause_reading_if_full();

    event_loop& loop_;
    caller_connection_options options_;
    caller_connection_hooks hooks_;
    bufferevent* bev_;
    message_reader reader_;
    std::deque<caller_exchange_ptr> exchanges_;
    caller_exchange_ptr receiving_;
    instant idle_since_;
    instant head_started_{};
    bool reading_{true};
    /// may_read has returned false.
    bool out_of_memory_{};
    /// Answers the request whose body is not read.
    int unread_body_status_{http_status::body_too_large};
    /// Bytes of bodies that were received, and of responses that were passed to the socket's
    /// buffer.
    std::uint64_t received_bytes_{};
    std::uint64_t passed_bytes_{};
    bool no_more_requests_{};
    bool closing_{};
    /// The caller may go on sending although a response has announced the close.
    bool linger_{};
    /// When sending was finished; the connection is then closed when the caller closes it.
    std::optional<instant> sending_finished_at_;
    /// Close with a reset: an orderly close would make a truncated response look complete.
    bool reset_on_close_{};
    bool flushing_{};
};

} // namespace quincewing
