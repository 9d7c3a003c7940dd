#include "h2_connection.hpp"

#include "quincewing/net/socket_bytes.hpp"

#include <algorithm>
#include <cerrno>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <vector>

namespace quincewing {

namespace {

constexpr std::size_t stream_high_water = 256UL * 1024;
constexpr std::size_t stream_low_water = 64UL * 1024;
// Bytes that wait in the socket's buffer before streams have to wait.
constexpr std::size_t socket_high_water = 256UL * 1024;
constexpr std::int32_t stream_window = 512 * 1024;
constexpr std::int32_t connection_window = 64 * 1024 * 1024;
constexpr std::uint32_t max_streams = 100'000;

std::vector<nghttp2_nv> to_nv(const header_list& headers)
{
    std::vector<nghttp2_nv> out;
    out.reserve(headers.size());
    for (const auto& [key, value] : headers) {
        // nghttp2 copies both and changes neither.
        out.push_back({reinterpret_cast<std::uint8_t*>(const_cast<char*>(key.data())),
                       reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data())), key.size(),
                       value.size(), NGHTTP2_NV_FLAG_NONE});
    }
    return out;
}

} // namespace

h2_stream::h2_stream() : outgoing(evbuffer_new()) {}

h2_stream::~h2_stream()
{
    evbuffer_free(outgoing);
}

/// nghttp2's callbacks, with access to the connection.
struct h2_callbacks
{
    static h2_connection& self(void* user) { return *static_cast<h2_connection*>(user); }

    static ssize_t read_data(nghttp2_session*, std::int32_t id, std::uint8_t* buf, size_t length,
                             std::uint32_t* flags, nghttp2_data_source*, void* user)
    {
        auto* it = self(user).find(id);
        if (it == nullptr) {
            return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
        }
        const auto n = evbuffer_remove(it->outgoing, buf, length);
        const auto left = evbuffer_get_length(it->outgoing);
        if (left == 0 && it->outgoing_ended) {
            *flags |= NGHTTP2_DATA_FLAG_EOF;
        } else if (n <= 0) {
            return NGHTTP2_ERR_DEFERRED;
        }
        if (it->congested && left < stream_low_water) {
            it->congested = false;
            if (it->on_drained) {
                it->on_drained();
            }
        }
        return std::max(n, 0);
    }

    static int on_begin_headers(nghttp2_session*, const nghttp2_frame* frame, void* user)
    {
        auto& connection = self(user);
        const auto id = frame->hd.stream_id;
        if (frame->headers.cat != NGHTTP2_HCAT_REQUEST) {
            return 0;
        }
        auto it = std::make_unique<h2_stream>();
        it->id = id;
        connection.streams_[id] = std::move(it);
        return 0;
    }

    static int on_header(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
                         size_t name_size, const std::uint8_t* value, size_t value_size,
                         std::uint8_t, void* user)
    {
        if (auto* it = self(user).find(frame->hd.stream_id)) {
            it->headers.emplace_back(std::string{reinterpret_cast<const char*>(name), name_size},
                                     std::string{reinterpret_cast<const char*>(value), value_size});
        }
        return 0;
    }

    static int on_frame(nghttp2_session*, const nghttp2_frame* frame, void* user)
    {
        auto& connection = self(user);
        auto* it = connection.find(frame->hd.stream_id);
        if (it == nullptr) {
            return 0;
        }
        if (frame->hd.type == NGHTTP2_HEADERS && !it->headers_done) {
            it->headers_done = true;
            if (frame->headers.cat == NGHTTP2_HCAT_REQUEST && connection.hooks_.on_stream) {
                connection.hooks_.on_stream(*it);
            }
            if (it->on_headers) {
                it->on_headers(*it);
            }
        }
        const bool data_or_headers =
            frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
        if (data_or_headers && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0 &&
            it->on_remote_end) {
            it->on_remote_end(*it);
        }
        return 0;
    }

    static int on_data(nghttp2_session* session, std::uint8_t, std::int32_t id,
                       const std::uint8_t* data, size_t n, void* user)
    {
        auto* it = self(user).find(id);
        const auto used = it != nullptr && it->on_data ? it->on_data(*it, data, n) : n;
        // The connection's window is never what holds one slow stream back.
        nghttp2_session_consume_connection(session, n);
        if (used > 0) {
            nghttp2_session_consume_stream(session, id, used);
        }
        return 0;
    }

    static int on_stream_close(nghttp2_session*, std::int32_t id, std::uint32_t error, void* user)
    {
        auto& connection = self(user);
        const auto found = connection.streams_.find(id);
        if (found == connection.streams_.end()) {
            return 0;
        }
        const auto it = std::move(found->second);
        connection.streams_.erase(found);
        if (it->on_close) {
            it->on_close(*it, error);
        }
        return 0;
    }
};

h2_connection::h2_connection(event_loop& loop, bool server, bufferevent* bev, hooks callbacks)
    : loop_(loop), hooks_(std::move(callbacks)), bev_(bev), flush_timer_(loop, [this] { flush(); })
{
    nghttp2_session_callbacks* calls = nullptr;
    nghttp2_session_callbacks_new(&calls);
    nghttp2_session_callbacks_set_on_begin_headers_callback(calls, h2_callbacks::on_begin_headers);
    nghttp2_session_callbacks_set_on_header_callback(calls, h2_callbacks::on_header);
    nghttp2_session_callbacks_set_on_frame_recv_callback(calls, h2_callbacks::on_frame);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(calls, h2_callbacks::on_data);
    nghttp2_session_callbacks_set_on_stream_close_callback(calls, h2_callbacks::on_stream_close);
    nghttp2_option* option = nullptr;
    nghttp2_option_new(&option);
    nghttp2_option_set_no_auto_window_update(option, 1);
    nghttp2_option_set_peer_max_concurrent_streams(option, max_streams);
    if (server) {
        nghttp2_session_server_new2(&session_, calls, this, option);
    } else {
        nghttp2_session_client_new2(&session_, calls, this, option);
    }
    nghttp2_option_del(option);
    nghttp2_session_callbacks_del(calls);
    const nghttp2_settings_entry settings[] = {
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, max_streams},
        {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, stream_window},
    };
    nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings, std::size(settings));
    nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0, connection_window);

    const auto on_read = [](bufferevent*, void* arg) {
        auto& self = *static_cast<h2_connection*>(arg);
        if (!self.loop_.guard("bytes of a host", [&] { self.feed(); })) {
            self.loop_.guard("end of a link", [&] { self.fail(0); });
        }
    };
    const auto on_write = [](bufferevent*, void* arg) {
        static_cast<h2_connection*>(arg)->flush();
    };
    const auto on_event = [](bufferevent*, short events, void* arg) {
        auto& self = *static_cast<h2_connection*>(arg);
        if ((events & BEV_EVENT_CONNECTED) != 0) {
            if (self.hooks_.on_connected) {
                self.hooks_.on_connected();
            }
            self.flush();
            return;
        }
        self.fail((events & BEV_EVENT_ERROR) != 0 ? errno : 0);
    };
    bufferevent_setcb(bev_, on_read, on_write, on_event, this);
    bufferevent_enable(bev_, EV_READ | EV_WRITE);
}

h2_connection::~h2_connection()
{
    hooks_ = {};
    streams_.clear();
    nghttp2_session_del(session_);
    bufferevent_free(bev_);
}

h2_stream* h2_connection::open(const header_list& headers, bool has_body)
{
    if (closed_) {
        return nullptr;
    }
    const auto nv = to_nv(headers);
    nghttp2_data_provider provider{};
    provider.read_callback = h2_callbacks::read_data;
    const auto id = nghttp2_submit_request(session_, nullptr, nv.data(), nv.size(),
                                           has_body ? &provider : nullptr, nullptr);
    if (id < 0) {
        return nullptr;
    }
    auto it = std::make_unique<h2_stream>();
    it->id = id;
    it->outgoing_ended = !has_body;
    auto* out = it.get();
    streams_[id] = std::move(it);
    flush_timer_.soon();
    return out;
}

void h2_connection::respond(h2_stream& it, const header_list& headers)
{
    const auto nv = to_nv(headers);
    nghttp2_data_provider provider{};
    provider.read_callback = h2_callbacks::read_data;
    nghttp2_submit_response(session_, it.id, nv.data(), nv.size(), &provider);
    flush_timer_.soon();
}

bool h2_connection::write(h2_stream& it, evbuffer* data)
{
    evbuffer_add_buffer(it.outgoing, data);
    nghttp2_session_resume_data(session_, it.id);
    flush_timer_.soon();
    it.congested = evbuffer_get_length(it.outgoing) > stream_high_water;
    return !it.congested;
}

bool h2_connection::write(h2_stream& it, const std::string& data)
{
    evbuffer_add(it.outgoing, data.data(), data.size());
    nghttp2_session_resume_data(session_, it.id);
    flush_timer_.soon();
    return evbuffer_get_length(it.outgoing) <= stream_high_water;
}

void h2_connection::end(h2_stream& it)
{
    it.outgoing_ended = true;
    nghttp2_session_resume_data(session_, it.id);
    flush_timer_.soon();
}

void h2_connection::reset(h2_stream& it)
{
    evbuffer_drain(it.outgoing, evbuffer_get_length(it.outgoing));
    nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, it.id, NGHTTP2_CANCEL);
    flush_timer_.soon();
}

void h2_connection::consume(std::int32_t stream, std::size_t n)
{
    if (closed_ || streams_.find(stream) == streams_.end()) {
        return;
    }
    nghttp2_session_consume_stream(session_, stream, n);
    flush_timer_.soon();
}

h2_stream* h2_connection::find(std::int32_t stream)
{
    const auto found = streams_.find(stream);
    return found == streams_.end() ? nullptr : found->second.get();
}

void h2_connection::flush()
{
    if (closed_) {
        return;
    }
    auto* out = bufferevent_get_output(bev_);
    const std::uint8_t* data = nullptr;
    std::size_t total = 0;
    while (evbuffer_get_length(out) < socket_high_water) {
        const auto n = nghttp2_session_mem_send(session_, &data);
        if (n <= 0) {
            break;
        }
        evbuffer_add(out, data, static_cast<std::size_t>(n));
        total += static_cast<std::size_t>(n);
    }
    if (total > 0 && hooks_.on_bytes_out) {
        hooks_.on_bytes_out(total);
    }
}

void h2_connection::feed()
{
    auto* in = bufferevent_get_input(bev_);
    last_heard_ = monotonic_now();
    while (!closed_ && evbuffer_get_length(in) > 0) {
        const auto n = evbuffer_get_contiguous_space(in);
        const auto* data = evbuffer_pullup(in, static_cast<ev_ssize_t>(n));
        if (hooks_.on_bytes_in) {
            hooks_.on_bytes_in(n);
        }
        const auto used = nghttp2_session_mem_recv(session_, data, n);
        if (used < 0) {
            fail(0);
            return;
        }
        evbuffer_drain(in, n);
    }
    flush_timer_.soon();
}

void h2_connection::fail(int system_error)
{
    if (closed_) {
        return;
    }
    closed_ = true;
    bufferevent_disable(bev_, EV_READ | EV_WRITE);
    auto streams = std::move(streams_);
    streams_.clear();
    for (auto& [id, it] : streams) {
        if (it->on_close) {
            it->on_close(*it, NGHTTP2_CONNECT_ERROR);
        }
    }
    if (hooks_.on_closed) {
        hooks_.on_closed(system_error);
    }
}

void h2_connection::ping()
{
    nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
    flush_timer_.soon();
}

std::size_t h2_connection::pending_bytes() const
{
    std::size_t n = evbuffer_get_length(bufferevent_get_output(bev_));
    for (const auto& [id, it] : streams_) {
        n += evbuffer_get_length(it->outgoing);
    }
    return n;
}

bool h2_connection::sent() const
{
    return closed_ || (nghttp2_session_want_write(session_) == 0 && pending_bytes() == 0);
}

bool h2_connection::bytes_unread() const
{
    return !closed_ && unread_bytes(bufferevent_getfd(bev_)) > 0;
}

} // namespace quincewing
