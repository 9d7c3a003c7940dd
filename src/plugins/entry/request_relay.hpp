#pragma once

#include "reach_task.hpp"
#include "server_connections.hpp"

#include "quincewing/entry/host_context.hpp"
#include "quincewing/exchange/exchange.hpp"
#include "quincewing/peers/peers_task.hpp"

#include <cstddef>
#include <functional>
#include <list>
#include <memory>

namespace quincewing {

struct request_relay_hooks
{
    /// False while this host stops.
    std::function<bool()> may_start;
    /// What an answer says of its server; see server_conditions::on_notice.
    std::function<void(const backend_server&, instant sent_at, const server_notice&)> on_notice;
};

/// Sends requests of other entry hosts to backend servers that those do not reach, once each, and
/// hands the responses back. It chooses no server, repeats nothing and hands nothing on to a third
/// host: all that is the business of the host that has the caller.
class request_relay
{
public:
    request_relay(host_context context, peers_task& peers, reach_task& reach,
                  server_connections& connections, request_relay_hooks hooks);
    ~request_relay();
    request_relay(const request_relay&) = delete;
    request_relay& operator=(const request_relay&) = delete;

    /// A request that another host has sent in full.
    void on_request(const exchange_ptr& it);
    /// No request of another host is at a server.
    [[nodiscard]] bool idle() const { return relays_.empty(); }
    void tick(instant now);

private:
    struct relay;
    using relay_ptr = std::shared_ptr<relay>;

    [[nodiscard]] bool may_take(const exchange& it) const;
    [[nodiscard]] bool still_usable(const backend_server& server) const;
    [[nodiscard]] duration max_idle_of(const exchange& it) const;
    void send(const relay_ptr& it);
    /// Whether the answer is to this request and to no other.
    [[nodiscard]] bool answers(const relay& it, const message_head& head) const;
    head_action on_head(relay& it, message_head& head);
    void on_body(relay& it, const char* buf, std::size_t n);
    void on_end(relay& it, bool reusable);
    void on_lost(relay& it, connection_loss how);
    /// The other host has given the request up, or is gone.
    void on_given_up(relay& it);
    void cancel(relay& it);
    /// Tells the other host that there is no response.
    static void tell_loss(const exchange_ptr& to, const char* why, bool sent);
    void end(relay& it);

    host_context context_;
    peers_task& peers_;
    reach_task& reach_;
    server_connections& connections_;
    request_relay_hooks hooks_;
    std::list<relay_ptr> relays_;
    std::size_t bytes_{};
    std::uint64_t& taken_total_;
};

} // namespace quincewing
