#pragma once

#include "quincewing/http/message_head.hpp"
#include "quincewing/http/message_reader.hpp"
#include "quincewing/net/event_loop.hpp"

#include <cstddef>
#include <functional>
#include <string>

struct bufferevent;

namespace quincewing {

/// How a connection ended without the whole of an answer.
enum class connection_loss
{
    /// Nobody listens at the address.
    refused,
    /// It could not be opened in time.
    not_connected,
    reset,
    /// Closed in order, in the middle of an answer or before it.
    closed,
    /// The bytes were not an answer.
    malformed,
    /// The request was withdrawn before any of its bytes went out.
    withdrawn
};

const char* to_string(connection_loss it);

/// What to do with an answer whose head has come.
enum class head_action
{
    accept,
    /// It belongs to another request: pass over it and wait for the next.
    skip
};

struct client_connection_options
{
    /// "ip:port"
    std::string address;
    /// Longest head of an answer in bytes.
    std::size_t max_head{64UL * 1024};
    duration connect_timeout{seconds{1}};
    /// Sent bytes that nobody acknowledged for so long end the connection.
    duration unacknowledged_timeout{seconds{4}};
};

struct client_connection_hooks
{
    /// Asked when a new connection stands; false withdraws the request.
    std::function<bool()> may_send;
    /// The request's bytes go out now.
    std::function<void()> on_sent;
    std::function<head_action(message_head&)> on_head;
    std::function<void(const char*, std::size_t)> on_body;
    /// The answer is whole. reusable: the connection can carry another request.
    std::function<void(bool reusable)> on_end;
    /// The connection is over; whole answers before it are not affected.
    std::function<void(connection_loss)> on_lost;
};

/// A connection to an HTTP/1.1 server that carries one request at a time. It must not be
/// destroyed inside a hook.
class client_connection
{
public:
    client_connection(event_loop& loop, client_connection_options options);
    ~client_connection();
    client_connection(const client_connection&) = delete;
    client_connection& operator=(const client_connection&) = delete;

    /// Sends a request, as soon as the connection stands. answer_has_body is false for HEAD.
    void send(const std::string& head, const std::string& body, bool answer_has_body,
              client_connection_hooks hooks);
    /// Stops and goes on reading the answer.
    void set_reading(bool on);
    /// Resets the connection; bytes on their way die with it. No hook is called any more.
    void abort();
    /// Called when an idle connection ends.
    void set_on_idle_close(std::function<void()> hook) { on_idle_close_ = std::move(hook); }

    [[nodiscard]] bool busy() const { return busy_; }
    [[nodiscard]] bool closed() const { return bev_ == nullptr; }
    /// The present request's bytes have begun to go out.
    [[nodiscard]] bool sent() const { return sent_; }
    [[nodiscard]] const std::string& address() const { return options_.address; }
    /// When the last answer ended.
    [[nodiscard]] instant last_response_at() const { return last_response_at_; }
    /// How long the server keeps an idle connection, as its last answer said; zero: it did not.
    [[nodiscard]] duration keep_alive_timeout() const { return keep_alive_timeout_; }

private:
    void connect();
    void on_event(short what);
    void on_readable();
    void write_request();
    void take_answer();
    void lose(connection_loss how);
    void close(bool reset);
    head_action note_head(message_head& head);

    event_loop& loop_;
    client_connection_options options_;
    client_connection_hooks hooks_;
    std::function<void()> on_idle_close_;
    message_reader reader_;
    timer connect_timer_;
    timer lost_timer_;
    bufferevent* bev_{};
    std::string pending_;
    instant last_response_at_{};
    duration keep_alive_timeout_{};
    connection_loss loss_{connection_loss::closed};
    bool connected_{};
    bool busy_{};
    bool sent_{};
    bool skipping_{};
    bool reusable_{true};
    bool answer_has_body_{true};
};

} // namespace quincewing
