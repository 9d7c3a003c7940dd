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
    /// How the servers of each service are treated.
    std::map<service_id, agent_options> services;
    /// First record, appended when the log is empty.
    initial_deployment initial_record;
    /// A host takes on no servers before it could hear its peers.
    duration settle{millis{1500}};
    /// Both members of a pair are unheard for this long before another host claims the server.
    duration claim_patience{seconds{5}};
    /// The same for a host of another data centre, when the platform lists none there either.
    duration foreign_claim_patience{seconds{30}};
    duration log_patience{millis{1500}};
    duration heartbeat_every{millis{500}};
    duration announce_every{seconds{10}};
    /// Records between two snapshots.
    std::uint64_t snapshot_every{2000};
    /// Time between two snapshots; well below the platform's retention.
    duration snapshot_period{seconds{3600}};
    std::size_t snapshot_chunk_bytes{48UL * 1024};
};

/// Where a request goes.
struct route
{
    shard_id shard;
    server_id server;
    /// The entry host that leads the server; empty when none is known.
    host_id leader;
};

/// All decisions of one entry host. Takes events and time; what is to be done goes to effects.
class host_core
{
public:
    explicit host_core(host_options options);

    /// Records read from the log; started is when the read was sent.
    void on_read(instant now, instant started,
                 const std::vector<std::pair<log_offset, record>>& records, bool reached_tail,
                 effects& out);
    /// The state found at the start, or taken from a snapshot after falling behind.
    void on_state(instant now, instant started, log_state state, effects& out);
    void on_envelope(instant now, const envelope& it, effects& out);
    /// The host's process is known to be gone: its port refuses, or another instance answers.
    void on_process_gone(instant now, const host_id& host, effects& out);
    void on_host_list(instant now, const std::set<std::string>& addresses);
    void on_command_result(instant now, const server_id& server, std::uint64_t number,
                           const command_reply& reply, effects& out);
    void tick(instant now, effects& out);
    /// Call after each batch of events.
    void flush(instant now, effects& out);

    /// A request for a server that this host leads, or should.
    void begin(instant now, const server_id& server, const request_meta& meta, effects& out);
    void cancel(instant now, request_id id, effects& out);
    void finished(instant now, request_id id, const request_result& result, effects& out);

    /// The shard of a key; any_shard when the service has none.
    [[nodiscard]] shard_id shard_of(const service_id& service, std::string_view key) const;
    [[nodiscard]] std::optional<route> find_route(const shard_id& shard) const;
    /// Servers that do not answer their leaders, as far as is known here.
    [[nodiscard]] std::set<server_id> lost_servers() const;
    /// Servers of a service that take requests without a shard.
    [[nodiscard]] std::vector<route> any_routes(const service_id& service) const;

    /// Hands over all leaderships; this host takes on nothing new.
    void leave(instant now, effects& out);
    /// Nothing is led here any more and no request is open.
    [[nodiscard]] bool idle() const;

    [[nodiscard]] bool log_reachable(instant now) const;
    [[nodiscard]] const log_state& state() const { return state_; }
    [[nodiscard]] const member_table& members() const { return members_; }
    [[nodiscard]] const std::map<server_id, server_agent>& agents() const { return agents_; }
    [[nodiscard]] const host_options& options() const { return options_; }
    [[nodiscard]] bool has_state() const { return state_.config_version() != 0; }
    [[nodiscard]] const crash_guard& guard() const { return guard_; }
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
    void announce_alone(const server_id& server, const server_agent& agent, bool all, effects& out);
    void write_snapshot(instant now, effects& out);
    void drop_idle_agents();
    void spread_notices(instant now, effects& out);

    host_options options_;
    log_state state_;
    member_table members_;
    std::map<server_id, server_agent> agents_;
    std::map<request_id, server_id> request_agents_;
    std::map<server_id, hint> hints_;
    /// Shards taken without the log, as told by their new leaders.
    std::map<shard_id, shard_hint> shard_hints_;
    std::map<server_id, pair_view> announced_;
    std::set<server_id> announced_lost_;
    std::map<server_id, instant> unheard_since_;
    std::set<std::string> listed_;
    crash_guard guard_;
    std::uint64_t command_number_{};
    std::uint64_t void_records_{};
    instant started_{};
    instant fresh_as_of_{};
    instant last_read_{};
    instant next_heartbeat_{};
    instant next_announcement_{};
    instant next_claim_{};
    instant snapshot_at_{};
    bool leaving_{};
    bool genesis_sent_{};
    instant genesis_at_{};
};

} // namespace quincewing
