#include "peer_link.hpp"

#include "identity_headers.hpp"
#include "silent_connections.hpp"

#include "quincewing/net/bound_socket.hpp"
#include "quincewing/net/endpoint.hpp"

#include <algorithm>
#include <cerrno>
#include <event2/bufferevent.h>

namespace quincewing {

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
    if (!connection_ || connection_->http().closed()) {
        return;
    }
    auto& http = connection_->http();
    switch (watch_.check(monotonic_now(), http.last_heard(), owner_.links_.size())) {
    case link_action::none:
        break;
    case link_action::ping:
        http.ping();
        break;
    case link_action::give_up:
        give_up();
        break;
    }
}

// Requests that were handed over may still be answered. Messages that wait would arrive behind
// those of the next connection.
void peer_link::give_up()
{
    if (connection_->idle()) {
        connection_->http().fail(0);
        return;
    }
    if (auto* stream = connection_->http().find(messages_)) {
        connection_->http().reset(*stream);
    }
    const auto silent = identity_.host;
    auto it = std::move(connection_);
    on_closed(0);
    owner_.silent_->keep(silent, std::move(it));
}

bool peer_link::bytes_unread() const
{
    return stands_ && connection_->http().bytes_unread();
}

void peer_link::connect()
{
    const auto to = parse_endpoint(address_);
    connected_ = false;
    watch_.reset(monotonic_now());
    auto* bev = bufferevent_socket_new(loop_.base(),
                                       open_socket_from(parse_endpoint(owner_.options_.listen).ip),
                                       BEV_OPT_CLOSE_ON_FREE);
    connection_ = std::make_unique<peer_connection>(
        loop_, bev, owner_.counts_,
        peer_connection_hooks{.on_connected =
                                  [this] {
                                      connected_ = true;
                                      open_messages();
                                  },
                              .on_closed = [this](int error) { on_closed(error); }});
    bufferevent_socket_connect_hostname(bev, nullptr, AF_INET, to.ip.c_str(), to.port);
}

void peer_link::open_messages()
{
    header_list headers{{":method", "POST"},
                        {":scheme", "http"},
                        {":authority", "quincewing"},
                        {":path", "/messages"}};
    append_identity(headers, owner_.own_identity());
    auto* stream = connection_->http().open(headers, true);
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
    auto* stream = stands_ ? connection_->http().find(messages_) : nullptr;
    if (stream == nullptr) {
        return;
    }
    auto& http = connection_->http();
    if (http.pending_bytes() > owner_.options_.max_pending) {
        return;
    }
    watch_.on_sent(monotonic_now(), http.last_heard());
    http.write(*stream, data);
}

void peer_link::forward(const exchange_ptr& it, forward_hooks hooks)
{
    auto failed = hooks.failed;
    if (!stands_ || !connection_->forward(it, std::move(hooks))) {
        failed({.handed_over = false});
        return;
    }
    ++owner_.counts_.forwarded;
    watch_.on_sent(monotonic_now(), connection_->http().last_heard());
}

} // namespace quincewing
