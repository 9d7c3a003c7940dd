#include "peer_link.hpp"

#include "forward_headers.hpp"
#include "identity_headers.hpp"

#include "quincewing/net/bound_socket.hpp"
#include "quincewing/net/endpoint.hpp"

#include <algorithm>
#include <cerrno>
#include <event2/buffer.h>
#include <event2/bufferevent.h>

namespace quincewing {

namespace {

/// What a forwarded request needs until its stream closes.
struct forward_state
{
    exchange_ptr it;
    std::function<void(forward_failure)> failed;
    /// Data that the caller's side has not taken yet, and its stream.
    std::size_t held_back{};
    bool head{};
    bool whole{};
};

} // namespace

peer_link::peer_link(event_loop& loop, peers_task& owner, std::string address)
    : loop_(loop), owner_(owner), address_(std::move(address)),
      backoff_(owner.options_.reconnect_least), watch_(owner.options_.watch),
      reconnect_timer_(loop, [this] { connect(); }),
      silence_timer_(loop, [this] { check_silence(); })
{
    connect();
    silence_timer_.every(owner.options_.watch.ping_every);
}

// Something between the two ends may have lost track of an open connection while new ones work.
void peer_link::check_silence()
{
    if (!connection_ || connection_->closed()) {
        return;
    }
    switch (watch_.check(monotonic_now(), connection_->last_heard(), owner_.links_.size())) {
    case link_action::none:
        break;
    case link_action::ping:
        connection_->ping();
        break;
    case link_action::give_up:
        connection_->fail(0);
        break;
    }
}

void peer_link::connect()
{
    const auto to = parse_endpoint(address_);
    connected_ = false;
    watch_.reset(monotonic_now());
    auto* bev = bufferevent_socket_new(loop_.base(),
                                       open_socket_from(parse_endpoint(owner_.options_.listen).ip),
                                       BEV_OPT_CLOSE_ON_FREE);
    connection_ = std::make_unique<h2_connection>(
        loop_, false, bev,
        h2_connection::hooks{
            .on_closed = [this](int error) { on_closed(error); },
            .on_connected =
                [this] {
                    connected_ = true;
                    open_messages();
                },
            .on_bytes_out = [this](std::size_t n) { owner_.counts_.bytes_sent += n; },
            .on_bytes_in = [this](std::size_t n) { owner_.counts_.bytes_received += n; }});
    bufferevent_socket_connect_hostname(bev, nullptr, AF_INET, to.ip.c_str(), to.port);
}

void peer_link::open_messages()
{
    header_list headers{{":method", "POST"},
                        {":scheme", "http"},
                        {":authority", "quincewing"},
                        {":path", "/messages"}};
    append_identity(headers, owner_.own_identity());
    auto* stream = connection_->open(headers, true);
    if (stream == nullptr) {
        return;
    }
    messages_ = stream->id;
    stream->on_headers = [this](h2_stream& it) {
        auto identity = read_identity(it.headers);
        if (!identity) {
            return;
        }
        identity_ = std::move(*identity);
        stands_ = true;
        backoff_ = owner_.options_.reconnect_least;
        owner_.on_identity(*this);
    };
}

void peer_link::on_closed(int system_error)
{
    const bool refused = !connected_ && system_error == ECONNREFUSED;
    const bool stood = stands_;
    const auto lost = identity_.host;
    stands_ = false;
    identity_ = {};
    messages_ = -1;
    if (refused) {
        owner_.on_refused(*this);
    }
    if (stood) {
        owner_.on_link_change();
    }
    if (stood && owner_.hooks_.on_disconnected) {
        owner_.hooks_.on_disconnected(lost);
    }
    if (stood) {
        last_stood_ = monotonic_now();
        // The first try after a loss comes at once: a refusal then is the proof of a death.
        ++owner_.counts_.reconnects;
        reconnect_timer_.soon();
        return;
    }
    reconnect_later();
}

void peer_link::reconnect_later()
{
    const auto forget = owner_.options_.forget_after;
    if (forget > duration{0} && monotonic_now() - last_stood_ > forget) {
        owner_.drop_link(address_);
        return;
    }
    backoff_ = std::min(backoff_ * 2, owner_.options_.reconnect_most);
    std::uniform_int_distribution<duration::rep> spread{backoff_.count() / 2, backoff_.count()};
    reconnect_timer_.once(duration{spread(owner_.jitter_)});
}

void peer_link::send(const std::string& data)
{
    auto* stream = stands_ ? connection_->find(messages_) : nullptr;
    if (stream == nullptr) {
        return;
    }
    if (connection_->pending_bytes() > owner_.options_.max_pending) {
        return;
    }
    watch_.on_sent(monotonic_now(), connection_->last_heard());
    connection_->write(*stream, data);
}

void peer_link::forward(const exchange_ptr& it, std::function<void(forward_failure)> failed)
{
    const auto& body = it->request.body;
    auto* stream = stands_
                       ? connection_->open(to_stream_headers(*it, monotonic_now()), !body.empty())
                       : nullptr;
    if (stream == nullptr) {
        failed({.handed_over = false});
        return;
    }
    ++owner_.counts_.forwarded;
    watch_.on_sent(monotonic_now(), connection_->last_heard());
    if (!body.empty()) {
        connection_->write(*stream, body);
        connection_->end(*stream);
    }
    const auto state =
        std::make_shared<forward_state>(forward_state{.it = it, .failed = std::move(failed)});
    auto* connection = connection_.get();
    const auto id = stream->id;
    it->abort = [this, connection, id] {
        if (connection_.get() != connection) {
            return;
        }
        if (auto* found = connection->find(id)) {
            connection->reset(*found);
        }
    };
    stream->on_headers = [this, connection, id, state](h2_stream& from) {
        state->head = true;
        state->it->resume = [this, connection, id, state] {
            const auto n = state->held_back;
            state->held_back = 0;
            if (connection_.get() == connection && n > 0) {
                connection->consume(id, n);
            }
        };
        if (state->it->on_head) {
            state->it->on_head(head_from_stream(from.headers));
        }
    };
    stream->on_data = [state](h2_stream&, const std::uint8_t* data, std::size_t n) -> std::size_t {
        auto* buf = evbuffer_new();
        evbuffer_add(buf, data, n);
        const bool more = !state->it->on_body || state->it->on_body(buf);
        evbuffer_free(buf);
        if (more) {
            return n;
        }
        state->held_back += n;
        return 0;
    };
    stream->on_remote_end = [state](h2_stream&) { state->whole = true; };
    stream->on_close = [state](h2_stream&, std::uint32_t) {
        state->it->resume = nullptr;
        if (!state->head) {
            state->failed({.handed_over = true});
        } else if (state->it->on_end) {
            state->it->on_end(state->whole);
        }
    };
}

} // namespace quincewing
