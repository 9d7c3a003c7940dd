#pragma once

#include "quincewing/http/message_head.hpp"

#include <cstddef>
#include <functional>

namespace quincewing {

/// Why a request got no complete response.
enum class connection_loss
{
    /// Nobody listens at the address.
    refused,
    /// The connect attempt failed or timed out.
    not_connected,
    reset,
    /// The server closed the connection in an orderly way before or within a response.
    closed,
    /// The received bytes were not a valid HTTP response.
    malformed,
    /// The body exceeds the limit that was set for it.
    too_long,
    /// may_send returned false, so that no byte of the request was sent.
    withdrawn,
    /// The entry host that the request went by way of, or the link to it, was lost.
    host_lost,
    /// The server answered the request, but the answer lacks what shows that it is the server's.
    unproven
};

const char* to_string(connection_loss it);

/// What to do with a response whose head was received.
enum class head_action
{
    accept,
    /// It belongs to another request: discard it and wait for the next response.
    skip,
    /// It is the response to the request, but can't be passed on: the request ends with unproven.
    reject
};

struct server_channel_hooks
{
    /// Called once a new connection is established; false withdraws the request.
    std::function<bool()> may_send;
    /// The request is about to be sent.
    std::function<void()> on_sent;
    std::function<head_action(message_head&)> on_head;
    std::function<void(const char*, std::size_t)> on_body;
    /// The response is complete. reusable: the connection can carry another request.
    std::function<void(bool reusable)> on_end;
    /// The response will not be complete.
    std::function<void(connection_loss)> on_lost;
};

/// The way of one request to a backend server and of its response back: a connection of this host,
/// or another entry host.
class server_channel
{
public:
    virtual ~server_channel() = default;

    /// To be called in on_head: a longer body ends the response with too_long.
    virtual void set_body_limit(std::size_t bytes) = 0;
    /// Pauses or resumes the response's body, for flow control.
    virtual void set_reading(bool on) = 0;
    /// Cancels the request. No hook is called afterwards.
    virtual void abort() = 0;
    /// Whether bytes of the latest request may have reached the server.
    [[nodiscard]] virtual bool sent() const = 0;
};

} // namespace quincewing
