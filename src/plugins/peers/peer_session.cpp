#include "peer_session.hpp"

#include "forward_headers.hpp"
#include "identity_headers.hpp"

#include "quincewing/logging/event_log.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

namespace quincewing {

peer_session::peer_session(event_loop& loop, peers_task& owner, int fd)
    : owner_(owner),
      reader_({.on_envelope = [this](const envelope& it) { owner_.deliver(it); },
               .on_unknown = [this] { ++owner_.counts_.unknown; },
               .on_unreadable = [this](const std::string& error) { on_unreadable(error); }}),
      fail_timer_(loop, [this] { connection_->fail(0); })
{
    auto* bev = bufferevent_socket_new(loop.base(), fd, BEV_OPT_CLOSE_ON_FREE);
    connection_ = std::make_unique<h2_connection>(
        loop, true, bev,
        h2_connection::hooks{
            .on_stream = [this](h2_stream& it) { on_stream(it); },
            .on_closed = [this](int) { owner_.drop_session(this); },
            .on_bytes_out = [this](std::size_t n) { owner_.counts_.bytes_sent += n; },
            .on_bytes_in = [this](std::size_t n) { owner_.counts_.bytes_received += n; }});
}

void peer_session::on_stream(h2_stream& it)
{
    const auto* path = find_header(it.headers, ":path");
    if (path != nullptr && *path == "/messages") {
        take_messages(it);
    } else {
        take_request(it);
    }
}

void peer_session::take_messages(h2_stream& it)
{
    header_list headers{{":status", "200"}};
    append_identity(headers, owner_.own_identity());
    connection_->respond(it, headers);
    const auto visitor = read_identity(it.headers);
    if (visitor) {
        visitor_ = visitor->host;
    }
    if (visitor && owner_.hooks_.on_visitor) {
        owner_.hooks_.on_visitor(*visitor);
    }
    it.on_data = [this](h2_stream&, const std::uint8_t* data, std::size_t n) {
        if (!unreadable_ && !reader_.feed(data, n)) {
            // The other host connects anew and starts from a whole message. Not at once: this
            // stream is in use.
            unreadable_ = true;
            fail_timer_.soon();
        }
        return n;
    };
}

void peer_session::on_unreadable(const std::string& error)
{
    ++owner_.counts_.unreadable;
    log_event("message_unreadable", {{"host", visitor_.value}, {"error", error}});
}

void peer_session::take_request(h2_stream& it)
{
    auto request = from_stream_headers(it.headers, monotonic_now());
    request->id = owner_.hooks_.next_request_id();
    request->peer = visitor_;
    connect_answer(request, it.id);
    it.on_data = [this, request](h2_stream& stream, const std::uint8_t* data, std::size_t n) {
        auto& body = request->request.body;
        if (body.size() + n > owner_.options_.max_body) {
            connection_->reset(stream);
            return n;
        }
        body.append(reinterpret_cast<const char*>(data), n);
        return n;
    };
    it.on_remote_end = [this, request](h2_stream&) { owner_.hooks_.on_request(request); };
    it.on_close = [request](h2_stream&, std::uint32_t error) {
        request->on_head = nullptr;
        request->on_body = nullptr;
        request->on_end = nullptr;
        request->peer_lost = error == NGHTTP2_CONNECT_ERROR;
        if (error != NGHTTP2_NO_ERROR && request->abort) {
            request->abort();
        }
    };
}

void peer_session::connect_answer(const exchange_ptr& request, std::int32_t stream)
{
    request->on_head = [this, stream](const response_head& head) {
        if (auto* it = connection_->find(stream)) {
            connection_->respond(*it, to_stream_headers(head));
        }
    };
    request->on_body = [this, stream, raw = request.get()](evbuffer* data) {
        auto* it = connection_->find(stream);
        if (it == nullptr) {
            return true;
        }
        it->on_drained = [raw] {
            if (raw->resume) {
                raw->resume();
            }
        };
        return connection_->write(*it, data);
    };
    request->on_end = [this, stream](bool whole) {
        auto* it = connection_->find(stream);
        if (it == nullptr) {
            return;
        }
        if (whole) {
            connection_->end(*it);
        } else {
            connection_->reset(*it);
        }
    };
}

} // namespace quincewing
