#pragma once

#include "coordinator_role.hpp"
#include "server_connections.hpp"

#include "quincewing/assignment/assignment_table.hpp"
#include "quincewing/deployment/deployment_api.hpp"
#include "quincewing/dispatch/relay_hosts.hpp"
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
/// that it does not. Hosts tell each other of which services they reach no server.
class reach_task
{
public:
    reach_task(host_context context, peers_task& peers, server_connections& connections);

    /// Whether a request to this server can be sent from here: a new connection may be tried, or an
    /// idle one was used within max_idle.
    [[nodiscard]] bool reaches(const backend_server& server, duration max_idle) const;
    /// Whether the request may be sent from here to find out whether connections still break.
    [[nodiscard]] bool take_trial(const service_id& service, bool idempotent);
    /// Servers that can't be sent to from here; empty while that is true of all of a service, whose
    /// requests then go by way of other hosts.
    [[nodiscard]] std::vector<server_id> unreachable(const service_id& service) const;
    /// This host reaches no server of the service.
    [[nodiscard]] bool cut_off(const service_id& service) const;
    /// This host reaches no server of any service, or of some service.
    [[nodiscard]] bool cut_off() const;
    [[nodiscard]] bool cut_off_from_any() const;
    /// The other host told that it does not reach servers of some service.
    [[nodiscard]] bool told_cut(const host_id& host) const { return hosts_.cut(host); }
    /// Another host is better placed to reach the servers, and has been for some time, or this one
    /// does not know yet whether it reaches any.
    [[nodiscard]] bool should_stand_aside(instant now) const;
    /// A host that requests to the service can go by way of; none if there is none beside these.
    std::optional<host_id> choose_relay_host(const service_id& service,
                                             const std::set<host_id>& tried);
    /// The request did not reach its server by way of the host.
    void on_relay_failed(const host_id& host, const service_id& service);

    void on_connected(const backend_server& server);
    /// A server of the service answered.
    void on_answer(const service_id& service);
    /// since: when the connection was tried.
    void on_connect_failed(const backend_server& server, instant since);
    /// since: when the request was sent.
    void on_broken(const backend_server& server, instant since);
    /// A grant or release, and when it was begun.
    void on_key_call(const key_holder& to, instant since, call_way way);

    void on_servers();
    void on_host_connected(const host_id& host, const data_centre_id& data_centre);
    void on_host_lost(const host_id& host);
    void on_host_leaving(const host_id& host);
    void on_message(const host_id& from, const host_reach& it);
    void on_message(const host_id& from, const reach_question& it);
    void on_message(const host_id& from, const reach_result& it);
    void tick(instant now, coordinator_role role);

private:
    /// A sample of the service's servers, connected to before this host takes the term.
    struct reach_sample
    {
        /// Number of the candidacy; 0: there was none.
        std::uint64_t candidacy{};
        std::size_t size{};
        std::size_t reached{};
    };
    struct service_reach
    {
        reach_sample sample;
        server_reachability servers;
        /// Connections that are being tried without a request.
        std::size_t probes{};
        std::optional<instant> cut_since;
    };

    [[nodiscard]] const service_reach* find(const service_id& service) const;
    [[nodiscard]] bool reachable(const backend_server& server) const;
    void probe(instant now, service_reach& it);
    /// candidacy: of the sample that it is part of; 0: of none.
    void start_probe(instant now, const backend_server& server, std::uint64_t candidacy = 0);
    /// Begins to find out whether this host reaches enough servers to take the term.
    void start_samples(instant now);
    /// Tells the other hosts of cuts that began or ended.
    void note_cuts(instant now);
    void tell(const host_id& to);
    /// Services with keys of which this host reaches no server, for some time now.
    [[nodiscard]] unreached_services settled_cuts(instant now) const;
    [[nodiscard]] static bool settled(instant now, const service_reach& it);
    /// This host may take the term soon, and has not reached half of the sample of a service with
    /// keys.
    [[nodiscard]] bool unproven(instant now) const;
    /// What is known of this host's ways when it becomes the coordinator.
    void log_coordinator_reach(instant now) const;
    /// Servers of keyed services that this host does not reach.
    [[nodiscard]] std::vector<server_id> unreachable_owners() const;
    /// Asks another host whether it reaches servers that this one does not.
    void compare_reach(instant now);

    host_context context_;
    peers_task& peers_;
    server_connections& connections_;
    relay_hosts hosts_;
    std::map<service_id, service_reach> services_;
    /// What this host told last.
    unreached_services told_;
    coordinator_role role_{coordinator_role::none};
    instant role_since_{};
    std::uint64_t candidacies_{};
    std::minstd_rand random_;
    /// Since when this host has not reached some owners of keys.
    std::optional<instant> owners_unreachable_since_;
    instant next_question_{};
    instant better_placed_until_{};
};

} // namespace quincewing
