#pragma once

#include "h2_connection.hpp"

#include "quincewing/peers/peers_task.hpp"
#include "quincewing/wire/envelope_reader.hpp"

#include <memory>

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
    void on_unreadable(const std::string& error);
    void take_request(h2_stream& it);
    void connect_answer(const exchange_ptr& request, std::int32_t stream);

    peers_task& owner_;
    envelope_reader reader_;
    std::unique_ptr<h2_connection> connection_;
    /// The host that opened the connection; empty until it has introduced itself.
    host_id visitor_;
    /// What the other host sent is no message.
    bool unreadable_{};
    timer fail_timer_;
};

} // namespace quincewing
