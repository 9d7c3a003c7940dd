#pragma once

#include "quincewing/exchange/response_head.hpp"
#include "quincewing/net/event_loop.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nghttp2/nghttp2.h>
#include <string>

struct bufferevent;
struct evbuffer;

namespace quincewing {

/// One stream of a connection: outgoing data that waits, and the hooks for what comes in.
struct h2_stream
{
    std::int32_t id{-1};
    evbuffer* outgoing{};
    bool outgoing_ended{};
    /// Headers as they come in, pseudo headers included.
    header_list headers;
    bool headers_done{};
    std::function<void(h2_stream&)> on_headers;
    /// Returns how many bytes may be counted as consumed now; the rest later by consume().
    std::function<std::size_t(h2_stream&, const std::uint8_t*, std::size_t)> on_data;
    std::function<void(h2_stream&)> on_remote_end;
    /// The stream is closed; error is NO_ERROR for a regular end.
    std::function<void(h2_stream&, std::uint32_t error)> on_close;
    /// Outgoing data went down below the bound after write() said so.
    std::function<void()> on_drained;
    bool congested{};

    h2_stream();
    ~h2_stream();
    h2_stream(const h2_stream&) = delete;
    h2_stream& operator=(const h2_stream&) = delete;
};

/// An HTTP/2 connection, either side, on a bufferevent.
class h2_connection
{
public:
    struct hooks
    {
        /// A peer opened a stream (server side); set the stream's own hooks.
        std::function<void(h2_stream&)> on_stream;
        /// The connection is over. It must not be destroyed inside the call.
        std::function<void(int system_error)> on_closed;
        std::function<void()> on_connected;
        std::function<void(std::size_t)> on_bytes_out;
        std::function<void(std::size_t)> on_bytes_in;
    };

    h2_connection(event_loop& loop, bool server, bufferevent* bev, hooks callbacks);
    ~h2_connection();
    h2_connection(const h2_connection&) = delete;
    h2_connection& operator=(const h2_connection&) = delete;

    /// Opens a stream (client side). nullptr when the connection cannot take it.
    h2_stream* open(const header_list& headers, bool has_body);
    /// Answers a stream (server side).
    void respond(h2_stream& it, const header_list& headers);
    /// Queues data. False when much of it waits: on_drained tells when to go on.
    bool write(h2_stream& it, evbuffer* data);
    bool write(h2_stream& it, const std::string& data);
    void end(h2_stream& it);
    /// Ends the stream without what waits on it.
    void reset(h2_stream& it);
    /// Lets the peer send as many bytes more on the stream.
    void consume(std::int32_t stream, std::size_t n);
    h2_stream* find(std::int32_t stream);
    /// Sends what waits.
    void flush();
    /// Asks the peer for a sign of life; any byte that comes counts as one.
    void ping();
    /// When a byte last came.
    [[nodiscard]] instant last_heard() const { return last_heard_; }
    /// Gives the connection up.
    void fail(int system_error);
    [[nodiscard]] std::size_t pending_bytes() const;
    /// Nothing waits to be sent.
    [[nodiscard]] bool sent() const;
    /// Bytes came and were not read yet.
    [[nodiscard]] bool bytes_unread() const;
    [[nodiscard]] bool closed() const { return closed_; }

private:
    friend struct h2_callbacks;
    void feed();

    event_loop& loop_;
    hooks hooks_;
    bufferevent* bev_;
    nghttp2_session* session_{};
    std::map<std::int32_t, std::unique_ptr<h2_stream>> streams_;
    timer flush_timer_;
    instant last_heard_{monotonic_now()};
    bool closed_{};
};

} // namespace quincewing
