#pragma once

#include "h2_connection.hpp"

#include "quincewing/peers/peers_task.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>

namespace quincewing {

struct peer_connection_hooks
{
    std::function<void()> on_connected;
    /// The connection is over. It must not be destroyed inside the call.
    std::function<void(int system_error)> on_closed;
    /// The last request that was handed over has ended. As on_closed.
    std::function<void()> on_idle;
};

/// A connection to another entry host and the requests that were handed over on it.
class peer_connection
{
public:
    /// bev: connects, or is about to.
    peer_connection(event_loop& loop, bufferevent* bev, peers_counts& counts,
                    peer_connection_hooks hooks);
    ~peer_connection();
    peer_connection(const peer_connection&) = delete;
    peer_connection& operator=(const peer_connection&) = delete;

    [[nodiscard]] h2_connection& http() { return http_; }
    void set_hooks(peer_connection_hooks hooks) { hooks_ = std::move(hooks); }
    /// False if the connection cannot take the request.
    [[nodiscard]] bool forward(const exchange_ptr& it, forward_hooks hooks);
    /// No request that was handed over is under way.
    [[nodiscard]] bool idle() const { return open_.empty(); }
    /// Fails the requests that are not to stay on a silent connection.
    void fail_repeatable();

private:
    struct handed_over;
    using handed_over_ptr = std::shared_ptr<handed_over>;

    void set_stream_hooks(h2_stream& stream, const handed_over_ptr& state);
    void abort(handed_over& state);
    void resume(handed_over& state);
    void on_stream_closed(handed_over& state);
    /// Tells the source of the request that its answer does not come, or has come to its end.
    static void end(handed_over& state);
    void remove(handed_over& state);

    peer_connection_hooks hooks_;
    /// By stream.
    std::map<std::int32_t, handed_over_ptr> open_;
    h2_connection http_;
};

} // namespace quincewing
