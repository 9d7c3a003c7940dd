#pragma once

#include "server_connections.hpp"

#include "quincewing/dispatch/server_reachability.hpp"
#include "quincewing/entry/host_context.hpp"
#include "quincewing/peers/peers_task.hpp"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace quincewing {

/// Knows which backend servers this host reaches, and which other hosts can take requests for those
/// that it does not. Hosts tell each other whether they are cut off from all servers.
class reach_task
{
public:
    reach_task(host_context context, peers_task& peers, server_connections& connections);

    /// Whether a request to this server can be sent from here: a new connection may be tried, or an
    /// idle one was used within max_idle.
    [[nodiscard]] bool reaches(const backend_server& server, duration max_idle) const;
    /// Whether the request may be sent from here to find out whether connections still break.
    [[nodiscard]] bool take_trial(bool idempotent)
    {
        return servers_.take_trial(monotonic_now(), idempotent);
    }
    /// Servers that can't be sent to from here; empty while that is true of all of a service, whose
    /// requests then go by way of other hosts.
    [[nodiscard]] std::vector<server_id> unreachable(const service_id& service) const;
    /// This host reaches no server.
    [[nodiscard]] bool cut_off() const { return servers_.cut_off(); }
    /// Another host is better placed to reach the servers, and has been for some time.
    [[nodiscard]] bool should_stand_aside(instant now) const;
    /// A host that requests can go by way of, the nearest first; none if there is none beside
    /// these.
    std::optional<host_id> choose_relay_host(const std::set<host_id>& tried);

    void on_connected(const backend_server& server);
    void on_answer();
    /// Time since a server's last answer came here.
    [[nodiscard]] duration time_since_answer(instant now) const { return now - last_answer_; }
    /// since: when the connection was tried.
    void on_connect_failed(const backend_server& server, instant since);
    void on_broken(const backend_server& server);

    void on_servers();
    void on_host_connected(const host_id& host, const data_centre_id& data_centre);
    void on_host_lost(const host_id& host);
    void on_host_leaving(const host_id& host);
    void on_message(const host_id& from, const host_reach& it);
    void on_message(const host_id& from, const reach_question& it);
    void on_message(const host_id& from, const reach_result& it);
    /// coordinates: this host does.
    void tick(instant now, bool coordinates);

private:
    void list_relay_hosts();
    void probe(instant now);
    void note_cut(instant now);
    /// What is known of this host's ways when it becomes the coordinator.
    void log_coordinator_reach(instant now) const;
    /// Servers of keyed services that this host does not reach.
    [[nodiscard]] std::vector<server_id> unreachable_owners() const;
    /// Asks another host whether it reaches servers that this one does not.
    void compare_reach(instant now);
    void tell(const host_id& to, bool cut_off);

    host_context context_;
    peers_task& peers_;
    server_connections& connections_;
    server_reachability servers_;
    std::map<host_id, data_centre_id> hosts_;
    /// Hosts that told that they are cut off, or that they stop.
    std::set<host_id> cut_hosts_;
    std::set<host_id> leaving_;
    /// Hosts that requests can go by way of, in this host's data centre and elsewhere.
    std::vector<host_id> near_;
    std::vector<host_id> far_;
    std::optional<instant> cut_since_;
    bool told_cut_{};
    /// Since when this host has not reached some owners of keys.
    std::optional<instant> owners_unreachable_since_;
    instant next_question_{};
    instant better_placed_until_{};
    instant last_answer_{};
    instant last_connected_{};
    bool coordinates_{};
    bool probe_pending_{};
    instant probe_sent_{};
    std::minstd_rand random_;
};

} // namespace quincewing
