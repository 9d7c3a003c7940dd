#pragma once

#include "quincewing/exchange/exchange.hpp"
#include "quincewing/net/event_loop.hpp"
#include "quincewing/peers/peer_identity.hpp"
#include "quincewing/peers/peers_options.hpp"
#include "quincewing/wire/messages.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

struct evconnlistener;

namespace quincewing {

class peer_link;
class peer_session;
class silent_connections;

struct peers_counts
{
    std::uint64_t messages_sent{};
    std::uint64_t messages_received{};
    std::uint64_t bytes_sent{};
    std::uint64_t bytes_received{};
    std::uint64_t unreadable{};
    /// Messages of a later build that this one does not know.
    std::uint64_t unknown{};
    std::uint64_t forwarded{};
    std::uint64_t reconnects{};
};

struct peers_hooks
{
    std::function<void(const envelope&)> on_message;
    /// A link to this host stands.
    std::function<void(const peer_identity&)> on_connected;
    /// The link to this host fell; it is tried again. May be empty.
    std::function<void(const host_id&)> on_disconnected;
    /// This host opened a connection to here. May be empty.
    std::function<void(const peer_identity&)> on_visitor;
    /// The host's process is known to be gone.
    std::function<void(const host_id&)> on_process_gone;
    /// A request forwarded by another host; its exchange is set up towards that host.
    std::function<void(const exchange_ptr&)> on_request;
    std::function<request_id()> next_request_id;
};

/// How a forwarded request failed before its answer began.
struct forward_failure
{
    /// Bytes of it may have reached the peer.
    bool handed_over{};
};

struct forward_hooks
{
    /// No answer began.
    std::function<void(forward_failure)> failed;
    /// Asked when the other host has gone silent: whether the request stays with it as long as the
    /// connection stands. Otherwise it fails. May be empty: it stays.
    std::function<bool()> outlasts_silence;
};

/// Connections to the other entry hosts: messages and forwarded requests on HTTP/2 streams.
class peers_task
{
public:
    peers_task(event_loop& loop, peers_options options, peers_hooks hooks);
    ~peers_task();
    peers_task(const peers_task&) = delete;
    peers_task& operator=(const peers_task&) = delete;

    /// Listens; returns false when the address cannot be had.
    bool start();
    /// Keeps a link to each of these addresses.
    void connect_to(const std::set<std::string>& addresses);
    void send(const host_id& to, const message& body);
    /// Sends to all connected hosts; with a version, only to those that speak it or a later one.
    void send_to_all(const message& body, spoken_version least = first_spoken_version);
    /// Sends to the connected hosts that do not speak this version.
    void send_to_older(const message& body, spoken_version than);
    /// Sends the request to the host that leads its server. The answer goes to the exchange;
    /// failed is called instead when none began.
    void forward(const host_id& to, const exchange_ptr& it, forward_hooks hooks);
    /// No answer to a forwarded request waits in this process any more.
    [[nodiscard]] bool answers_sent() const;
    /// Bytes came on a link to another host and were not read yet.
    [[nodiscard]] bool bytes_unread() const;
    [[nodiscard]] bool connected(const host_id& host) const;
    /// Hosts to which a link stands, in order of their addresses.
    [[nodiscard]] const std::vector<host_id>& connected_hosts() const { return connected_; }
    /// Grows when connected_hosts() changes.
    [[nodiscard]] std::uint64_t connected_version() const { return connected_version_; }
    /// What a host told when the link to it was made; nullptr if none stands.
    [[nodiscard]] const peer_identity* identity_of(const host_id& host) const;
    /// Number of other hosts that were not forgotten, whether or not a link to them stands.
    [[nodiscard]] std::size_t known_hosts() const { return links_.size(); }
    /// Connections that went silent and still carry requests.
    [[nodiscard]] std::size_t silent_connection_count() const;
    [[nodiscard]] const peers_counts& counts() const { return counts_; }

private:
    friend class peer_link;
    friend class peer_session;

    [[nodiscard]] peer_identity own_identity() const;
    void on_accept(int fd);
    void deliver(const envelope& it);
    void drop_session(peer_session* it);
    void drop_link(const std::string& address);
    void on_refused(peer_link& it);
    void on_identity(peer_link& it);
    void on_process_gone(const host_id& host);
    void on_link_change();
    void send_where(const message& body, const std::function<bool(const peer_identity&)>& wanted);
    peer_link* link_to(const host_id& host) const;

    event_loop& loop_;
    peers_options options_;
    peers_hooks hooks_;
    peers_counts counts_;
    evconnlistener* listener_{};
    std::unique_ptr<silent_connections> silent_;
    std::map<std::string, std::unique_ptr<peer_link>> links_;
    std::vector<host_id> connected_;
    std::uint64_t connected_version_{};
    std::vector<std::unique_ptr<peer_session>> sessions_;
    std::vector<std::unique_ptr<peer_session>> dropped_;
    std::vector<std::unique_ptr<peer_link>> dropped_links_;
    timer drop_timer_;
    std::minstd_rand jitter_;
};

} // namespace quincewing
