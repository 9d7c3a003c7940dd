#include "peer_connection.hpp"

#include "forward_headers.hpp"

#include "quincewing/http/status_line.hpp"

#include <event2/buffer.h>
#include <utility>
#include <vector>

namespace quincewing {

namespace {

// The source of a request that failed may send it again with the same exchange.
void clear_hooks(h2_stream& it)
{
    it.on_headers = nullptr;
    it.on_data = nullptr;
    it.on_remote_end = nullptr;
    it.on_close = nullptr;
}

} // namespace

/// What a request that was handed over needs until its stream closes.
struct peer_connection::handed_over
{
    exchange_ptr it;
    forward_hooks hooks;
    std::int32_t stream{};
    /// nullptr: the request has ended here.
    peer_connection* connection{};
    /// Data that the caller's side has not taken yet.
    std::size_t held_back{};
    bool head{};
    bool whole{};
};

peer_connection::peer_connection(event_loop& loop, bufferevent* bev, peers_counts& counts,
                                 peer_connection_hooks hooks)
    : hooks_(std::move(hooks)),
      http_(loop, false, bev,
            {.on_closed =
                 [this](int error) {
                     if (hooks_.on_closed) {
                         hooks_.on_closed(error);
                     }
                 },
             .on_connected =
                 [this] {
                     if (hooks_.on_connected) {
                         hooks_.on_connected();
                     }
                 },
             .on_bytes_out = [&counts](std::size_t n) { counts.bytes_sent += n; },
             .on_bytes_in = [&counts](std::size_t n) { counts.bytes_received += n; }})
{
}

// Exchanges outlive the connection.
peer_connection::~peer_connection()
{
    for (const auto& [stream, it] : open_) {
        it->connection = nullptr;
        it->it->resume = nullptr;
    }
}

bool peer_connection::forward(const exchange_ptr& it, forward_hooks hooks)
{
    const auto& body = it->request.body;
    auto* stream = http_.open(to_stream_headers(*it, monotonic_now()), !body.empty());
    if (stream == nullptr) {
        return false;
    }
    if (!body.empty()) {
        http_.write(*stream, body);
        http_.end(*stream);
    }
    const auto state = std::make_shared<handed_over>(
        handed_over{.it = it, .hooks = std::move(hooks), .stream = stream->id, .connection = this});
    open_[stream->id] = state;
    const std::weak_ptr<handed_over> weak = state;
    it->abort = [weak] {
        if (const auto found = weak.lock(); found && found->connection != nullptr) {
            found->connection->abort(*found);
        }
    };
    set_stream_hooks(*stream, state);
    return true;
}

void peer_connection::set_stream_hooks(h2_stream& stream, const handed_over_ptr& state)
{
    stream.on_headers = [this, state](h2_stream& from) {
        const auto head = head_from_stream(from.headers);
        // An earlier build passes on what its server sent. Without a head the request fails when
        // the stream closes.
        if (!is_final_status(head.status)) {
            from.on_data = nullptr;
            from.on_remote_end = nullptr;
            http_.reset(from);
            return;
        }
        state->head = true;
        const std::weak_ptr<handed_over> weak = state;
        state->it->resume = [weak] {
            if (const auto found = weak.lock(); found && found->connection != nullptr) {
                found->connection->resume(*found);
            }
        };
        if (state->it->on_head) {
            state->it->on_head(head);
        }
    };
    stream.on_data = [state](h2_stream&, const std::uint8_t* data, std::size_t n) -> std::size_t {
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
    stream.on_remote_end = [state](h2_stream&) { state->whole = true; };
    stream.on_close = [this, state](h2_stream&, std::uint32_t) { on_stream_closed(*state); };
}

void peer_connection::abort(handed_over& state)
{
    if (auto* stream = http_.find(state.stream)) {
        http_.reset(*stream);
    }
    remove(state);
}

void peer_connection::resume(handed_over& state)
{
    const auto n = std::exchange(state.held_back, 0);
    if (n > 0) {
        http_.consume(state.stream, n);
    }
}

void peer_connection::on_stream_closed(handed_over& state)
{
    remove(state);
    end(state);
}

void peer_connection::end(handed_over& state)
{
    state.it->resume = nullptr;
    if (!state.head) {
        state.hooks.failed({.handed_over = true});
    } else if (state.it->on_end) {
        state.it->on_end(state.whole);
    }
}

void peer_connection::remove(handed_over& state)
{
    if (std::exchange(state.connection, nullptr) == nullptr) {
        return;
    }
    open_.erase(state.stream);
    if (open_.empty() && hooks_.on_idle) {
        hooks_.on_idle();
    }
}

void peer_connection::fail_repeatable()
{
    std::vector<handed_over_ptr> failed;
    for (const auto& [stream, it] : open_) {
        if (it->hooks.outlasts_silence && !it->hooks.outlasts_silence()) {
            failed.push_back(it);
        }
    }
    for (const auto& it : failed) {
        // The end of one request may have ended another.
        if (it->connection == nullptr) {
            continue;
        }
        if (auto* stream = http_.find(it->stream)) {
            clear_hooks(*stream);
            http_.reset(*stream);
        }
        remove(*it);
        end(*it);
    }
}

} // namespace quincewing
