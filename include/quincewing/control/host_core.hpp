#pragma once

#include "quincewing/admission/crash_guard.hpp"
#include "quincewing/control/effects.hpp"
#include "quincewing/control/server_agent.hpp"
#include "quincewing/membership/member_table.hpp"
#include "quincewing/state/log_state.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace quincewing {

struct host_options
{
    host_id self;
    data_centre_id data_centre;
    /// Options for the servers of each service.
    std::map<service_id, agent_options> services;
    /// Services and servers of a new deployment; appended when the log is empty.
    initial_deployment initial_record;
    /// Time after the start in which a host claims no servers, as it may not have heard its peers.
    duration startup_delay{millis{1500}};
    /// Silence of both members of a pair after which another host claims the server.
    duration claim_timeout{seconds{5}};
    /// The same for a claim from another data centre; the platform must not list the members
    /// either.
    duration foreign_claim_timeout{seconds{30}};
    /// The log counts as unreachable after this long without a successful read.
    duration log_timeout{millis{1500}};
    duration heartbeat_interval{millis{500}};
    duration announce_interval{seconds{10}};
    /// Records after which a snapshot is written.
    std::uint64_t snapshot_record_interval{2000};
    /// Time after which a snapshot is written; well below the platform's retention.
    duration snapshot_period{seconds{3600}};
    std::size_t snapshot_chunk_bytes{48UL * 1024};
};

/// Where a request is served.
struct leader_route
{
    shard_id shard;
    server_id server;
    /// The entry host that leads the server's pair; empty when unknown.
    host_id leader;
};

/// All decisions of one entry host. It does no I/O: it is given events and the time, and adds the
/// resulting actions to effects.
class host_core
{
public:
    explicit host_core(host_options options);
    host_core(const host_core&) = delete;
    host_core& operator=(const host_core&) = delete;

    /// Records read from the log. started is when the read was sent; reached_tail tells that no
    /// record was left to read.
    void on_read(instant now, instant started,
                 const std::vector<std::pair<log_offset, record>>& records, bool reached_tail,
                 effects& out);
    /// State from a snapshot in the log, read at the start or after falling behind.
    void on_state(instant now, instant started, log_state state, effects& out);
    void on_envelope(instant now, const envelope& it, effects& out);
    /// The host's process has ended: its port refuses connections, or another instance answers.
    void on_process_gone(instant now, const host_id& host, effects& out);
    /// Addresses of the entry hosts that the platform lists.
    void on_host_list(instant now, const std::set<std::string>& addresses);
    void on_command_result(instant now, const server_id& server, std::uint64_t number,
                           const command_reply& reply, effects& out);
    void tick(instant now, effects& out);
    /// Sends pending updates to the standbys. Call after each batch of events.
    void flush(instant now, effects& out);

    /// A request for a server that this host leads, or is believed to lead.
    void begin(instant now, const server_id& server, const request_meta& meta, effects& out);
    void cancel(instant now, request_id id, effects& out);
    void finished(instant now, request_id id, const request_result& result, effects& out);

    /// The shard of a key; any_shard when the service has no shards.
    [[nodiscard]] shard_id shard_of(const service_id& service, std::string_view key) const;
    [[nodiscard]] std::optional<leader_route> find_route(const shard_id& shard) const;
    /// Servers that are known not to answer their leaders.
    [[nodiscard]] std::set<server_id> lost_servers() const;
    /// Routes to all usable servers of a service, for requests without a shard.
    [[nodiscard]] std::vector<leader_route> any_routes(const service_id& service) const;

    /// Hands over the servers that this host leads, from the next tick on; it claims no others.
    void leave(instant now, effects& out);
    /// Refuses the requests that wait here and were not sent to a server.
    void refuse_waiting(instant now, refusal why, duration retry_after, effects& out);
    /// A request that was begun and has not ended yet.
    [[nodiscard]] bool has_request(request_id id) const;
    /// This host leads no server and has no open request.
    [[nodiscard]] bool idle() const;

    [[nodiscard]] bool log_reachable(instant now) const;
    [[nodiscard]] const log_state& state() const { return state_; }
    [[nodiscard]] const member_table& members() const { return members_; }
    [[nodiscard]] const std::map<server_id, server_agent>& agents() const { return agents_; }
    [[nodiscard]] const host_options& options() const { return options_; }
    [[nodiscard]] bool has_state() const { return state_.config_version() != 0; }
    [[nodiscard]] const crash_guard& guard() const { return guard_; }
    /// Number of replayed records that had no effect.
    [[nodiscard]] std::uint64_t void_records() const { return void_records_; }

private:
    struct hint
    {
        pair_view view;
        bool lost{};
    };

    server_agent* agent_for(const server_id& server);
    server_agent& make_agent(const server_id& server);
    [[nodiscard]] host_id leader_of(const server_id& server) const;
    [[nodiscard]] bool server_usable(const server_id& server) const;
    void after_replay(instant now, effects& out);
    void handle(instant now, const host_id& from, const message& body, effects& out);
    void claim_servers(instant now, effects& out);
    [[nodiscard]] bool claimable(instant now, const server_entry& server, const pair_entry& pair);
    [[nodiscard]] std::vector<member> candidates(instant now) const;
    [[nodiscard]] pair_environment surroundings(instant now, const server_id& server,
                                                const pair_view& view) const;
    void send_heartbeats(instant now, effects& out);
    void announce(instant now, effects& out);
    void announce_unrecorded_shards(const server_id& server, const server_agent& agent, bool all,
                                    effects& out);
    void write_snapshot(instant now, effects& out);
    void drop_idle_agents();
    void broadcast_crash_findings(instant now, effects& out);

    host_options options_;
    log_state state_;
    member_table members_;
    std::map<server_id, server_agent> agents_;
    std::map<request_id, server_id> request_servers_;
    std::map<server_id, hint> leader_hints_;
    /// Shards taken over without the log, as announced by their new leaders.
    std::map<shard_id, shard_hint> shard_hints_;
    std::map<server_id, pair_view> announced_views_;
    std::set<server_id> announced_lost_;
    std::map<server_id, instant> unheard_since_;
    /// Entry host addresses listed by the platform.
    std::set<std::string> listed_addresses_;
    /// Shared by the agents, so that one which takes a server over knows what the others know.
    crash_guard guard_;
    std::uint64_t command_number_{};
    std::uint64_t void_records_{};
    instant started_{};
    /// Start of the newest read that reached the log's tail.
    instant fresh_as_of_{};
    instant last_read_{};
    instant next_heartbeat_{};
    instant next_announcement_{};
    instant next_claim_{};
    /// Start of the current snapshot period.
    instant snapshot_at_{};
    bool leaving_{};
    bool genesis_sent_{};
    instant genesis_sent_at_{};
};

} // namespace quincewing
