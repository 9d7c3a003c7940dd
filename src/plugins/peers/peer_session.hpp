#pragma once

#include "h2_connection.hpp"

#include "quincewing/peers/peers_task.hpp"

#include <memory>
#include <msgpack.hpp>

namespace quincewing {

/// A connection that another entry host opened to this one.
class peer_session
{
public:
    peer_session(event_loop& loop, peers_task& owner, int fd);

    [[nodiscard]] bool answers_sent() const { return connection_->sent(); }

private:
    void on_stream(h2_stream& it);
    void take_messages(h2_stream& it);
    void feed_messages(const std::uint8_t* data, std::size_t n);
    void take_request(h2_stream& it);
    void connect_answer(const exchange_ptr& request, std::int32_t stream);

    peers_task& owner_;
    msgpack::unpacker unpacker_;
    std::unique_ptr<h2_connection> connection_;
    /// The host that opened the connection; empty until it has introduced itself.
    host_id visitor_;
};

} // namespace quincewing
