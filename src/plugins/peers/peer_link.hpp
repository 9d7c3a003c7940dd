#pragma once

#include "peer_connection.hpp"

#include "quincewing/peers/peers_task.hpp"

#include <memory>
#include <optional>
#include <string>

namespace quincewing {

/// The connection that this host keeps to one other entry host.
class peer_link
{
public:
    peer_link(event_loop& loop, peers_task& owner, std::string address);

    void send(const std::string& data);
    void forward(const exchange_ptr& it, forward_hooks hooks);
    /// Who answers at the address; without a host until it has told.
    [[nodiscard]] const peer_identity& identity() const { return identity_; }
    [[nodiscard]] bool stands() const { return stands_; }
    [[nodiscard]] bool bytes_unread() const;
    [[nodiscard]] const std::string& address() const { return address_; }

    /// The process that was last known at the address.
    host_id last_known;

private:
    void connect();
    void open_messages();
    void on_closed(int system_error);
    void reconnect_later();
    void check_silence();
    /// Makes the link anew.
    void give_up();

    event_loop& loop_;
    peers_task& owner_;
    std::string address_;
    std::unique_ptr<peer_connection> connection_;
    std::int32_t messages_{-1};
    peer_identity identity_;
    bool stands_{};
    bool connected_{};
    duration backoff_;
    /// When it last stood, or when it was first wanted.
    instant last_stood_{monotonic_now()};
    link_watch watch_;
    timer reconnect_timer_;
    timer silence_timer_;
};

} // namespace quincewing
