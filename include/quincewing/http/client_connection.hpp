#pragma once

#include "quincewing/http/message_reader.hpp"
#include "quincewing/http/server_channel.hpp"
#include "quincewing/net/event_loop.hpp"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>

struct bufferevent;

namespace quincewing {

struct client_connection_options
{
    /// "ip:port"
    std::string address;
    /// The ip that the connection leaves from; empty: the system's choice.
    std::string from;
    /// Largest response head in bytes, and largest sum of the interim ones before it.
    std::size_t max_head{64UL * 1024};
    duration connect_timeout{seconds{1}};
    /// The connection is dropped when sent bytes stay unacknowledged for longer
    /// (TCP_USER_TIMEOUT).
    duration unacknowledged_timeout{seconds{4}};
};

using client_connection_hooks = server_channel_hooks;

/// A client connection to an HTTP/1.1 server, with one request at a time. It must not be
/// destroyed inside a hook.
class client_connection : public server_channel
{
public:
    client_connection(event_loop& loop, client_connection_options options);
    ~client_connection() override;
    client_connection(const client_connection&) = delete;
    client_connection& operator=(const client_connection&) = delete;

    /// Sends a request once the connection is established. response_has_body is false for HEAD.
    void send(const std::string& head, const std::string& body, bool response_has_body,
              client_connection_hooks hooks);
    void set_body_limit(std::size_t bytes) override { body_limit_ = bytes; }
    void set_reading(bool on) override;
    /// Resets the connection and discards bytes in flight. No hook is called afterwards.
    void abort() override;
    /// Sets the function that is called when the connection ends while it is idle.
    void set_on_idle_close(std::function<void()> hook) { on_idle_close_ = std::move(hook); }

    [[nodiscard]] bool busy() const { return busy_; }
    [[nodiscard]] bool closed() const { return bev_ == nullptr; }
    [[nodiscard]] bool sent() const override { return sent_; }
    /// The connection carried no request before the latest one.
    [[nodiscard]] bool first_request() const { return requests_ <= 1; }
    [[nodiscard]] const std::string& address() const { return options_.address; }
    /// The connection breaks when the server has acknowledged nothing for so long although bytes
    /// are on their way to it.
    void set_unacknowledged_timeout(duration it);
    /// Bytes have come that the loop has not read yet.
    [[nodiscard]] bool unread() const;
    /// Reads bytes that have come and that the loop has not read yet. False: there are none.
    bool read_waiting();
    /// When the last response was complete.
    [[nodiscard]] instant last_response_at() const { return last_response_at_; }
    /// Timeout from the Keep-Alive header of the last response; zero when there was none.
    [[nodiscard]] duration keep_alive_timeout() const { return keep_alive_timeout_; }

private:
    void connect();
    /// Calls a step in the handling of an event. If it throws, the request ends.
    void guard(const std::function<void()>& step);
    void on_event(short what);
    void on_input();
    void on_readable();
    /// Appends bytes that wait in the system's buffer to the input. Returns their number.
    std::size_t read_more();
    void write_request();
    /// Bytes of the request were handed to the system.
    [[nodiscard]] bool any_written() const;
    void complete_response();
    void fail(connection_loss how);
    void close(bool reset);
    head_action on_response_head(message_head& head);
    [[nodiscard]] bool too_many_skipped() const;
    [[nodiscard]] bool body_too_long() const { return body_limit_ && body_bytes_ > *body_limit_; }

    event_loop& loop_;
    client_connection_options options_;
    client_connection_hooks hooks_;
    std::function<void()> on_idle_close_;
    message_reader reader_;
    timer connect_timer_;
    timer failure_timer_;
    bufferevent* bev_{};
    std::string pending_;
    std::size_t request_bytes_{};
    instant last_response_at_{};
    duration keep_alive_timeout_{};
    connection_loss connect_failure_{connection_loss::closed};
    bool connected_{};
    bool busy_{};
    bool sent_{};
    bool skipping_{};
    bool rejected_{};
    /// The head is neither an answer nor an interim response.
    bool invalid_{};
    std::size_t requests_{};
    /// The response that is being read is an interim one (1xx).
    bool interim_{};
    std::size_t interim_bytes_{};
    /// Responses to other requests before the one to the request.
    std::size_t skipped_{};
    std::size_t skipped_bytes_{};
    /// Bytes of the body of the response to the request.
    std::size_t body_bytes_{};
    std::optional<std::size_t> body_limit_;
    bool reusable_{true};
    bool response_has_body_{true};
};

} // namespace quincewing
