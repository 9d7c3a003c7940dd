#pragma once

#include "quincewing/admission/crash_guard.hpp"
#include "quincewing/admission/server_queue.hpp"
#include "quincewing/control/agent_options.hpp"
#include "quincewing/control/effects.hpp"
#include "quincewing/control/shard_table.hpp"
#include "quincewing/ledger/ledger.hpp"
#include "quincewing/ownership/pair_member.hpp"
#include "quincewing/state/log_state.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace quincewing {

/// How a dispatched request ended at its server.
struct request_result
{
    quincewing::verdict verdict{quincewing::verdict::unknown};
    stored_response response;
    /// The server's process ended while the request was in flight.
    bool server_crashed{};
    /// The server rejected the request without running it, as it was busy.
    bool shed{};
};

/// Manages one backend server on one entry host: membership in the server's pair, the server's
/// shards and grants, the ledger of non-idempotent requests, and the request queue.
class server_agent
{
public:
    struct hooks
    {
        /// The host that leads another server; empty when unknown.
        std::function<host_id(const server_id&)> leader_of;
        std::function<std::uint64_t()> next_command_number;
        /// Whether a server may take over shards; false when it is known to be lost.
        std::function<bool(const server_id&)> server_usable;
    };

    /// guard: shared by all agents of the host.
    server_agent(server_id server, host_id self, agent_options options, hooks callbacks,
                 crash_guard& guard);

    void on_log(instant now, const log_state& log, effects& out);
    void on_heartbeat(instant now, const host_id& from, const pair_heartbeat& beat, effects& out);
    void on_ack(instant now, const host_id& from, const pair_ack& ack, effects& out);
    void on_update(instant now, const ledger_update& update);
    void on_release_request(instant now, const host_id& from, const release_request& it,
                            const log_state& log, effects& out);
    void on_release(instant now, const host_id& from, const shard_release& it, const log_state& log,
                    effects& out);
    void on_release_taken(instant now, const release_taken& it, effects& out);
    void on_late_answer(instant now, const late_answer& it, effects& out);
    void on_process_gone(instant now, const host_id& host, const pair_environment& around,
                         effects& out);
    void on_command_result(instant now, std::uint64_t number, const command_reply& reply,
                           effects& out);
    void tick(instant now, const pair_environment& around, const log_state& log, effects& out);

    /// A request to be served by this host as the server's leader.
    void begin(instant now, const request_meta& meta, effects& out);
    /// The caller disconnected or its deadline passed. A request in flight with an idempotency key
    /// still runs to its end.
    void cancel(instant now, request_id id, effects& out);
    void finished(instant now, request_id id, const request_result& result, effects& out);
    /// Refuses every request that neither was sent to the server nor waits for one that was.
    void refuse_undispatched(instant now, refusal why, duration retry_after, effects& out);
    [[nodiscard]] bool has_request(request_id id) const { return requests_.contains(id); }

    /// Sends the changes since the last call to the standby. Call after each batch of events.
    void flush(instant now, effects& out);
    /// Starts to hand the leadership over, if this host has it and there is a standby. Call for as
    /// long as the host leaves: it may still get one or the other.
    void hand_over();
    /// Whether this host may send requests and commands to the server now.
    [[nodiscard]] bool may_act(instant now) const { return pair_.may_act(now, fresh_as_of_); }
    [[nodiscard]] const pair_member& pair() const { return pair_; }
    [[nodiscard]] const server_queue& queue() const { return queue_; }
    [[nodiscard]] const ledger& request_ledger() const { return ledger_; }
    [[nodiscard]] const std::map<shard_id, held_shard>& shards() const { return held_; }
    [[nodiscard]] std::size_t open_requests() const { return requests_.size(); }
    [[nodiscard]] bool server_lost() const { return lost_since_.has_value(); }

private:
    enum class request_stage : std::uint8_t
    {
        waiting_shard,
        copying,
        queued,
        in_flight,
        /// Waits for the result of another request with the same idempotency key.
        joined_run
    };
    struct active_request
    {
        request_meta meta;
        request_stage stage{request_stage::waiting_shard};
        instant dispatched_at{};
        /// Number of the ledger update that the standby must acknowledge before the dispatch; 0
        /// for a request that has no ledger entry.
        std::uint64_t required_update{};
        /// Requests with the same idempotency key, answered with the result of this one.
        std::vector<request_id> duplicates;
        bool caller_gone{};
        /// This host lost the leadership: the outcome is sent to the new leader, not replicated.
        bool abandoned{};
    };
    struct pending_command
    {
        command_kind kind{command_kind::grant};
        instant sent{};
        std::vector<server_command::item> items;
    };

    // Pair membership and replication to the standby.
    void update_role(instant now, effects& out);
    void become_leader(instant now, effects& out);
    void stop_leading(instant now, effects& out);
    void update_acting(instant now, effects& out);
    void queue_ledger_item(const ledger_item& item);
    void queue_fact(instant now, const shard_id& shard);
    void send_full_update(instant now, effects& out);
    [[nodiscard]] shard_fact to_fact(instant now, const shard_id& shard) const;
    void store_fact(instant now, const shard_fact& it);
    [[nodiscard]] bool replicated(std::uint64_t number) const;

    // Shards and grants.
    void reconcile(instant now, const log_state& log, effects& out);
    void acquire_owned(instant now, const shard_id& shard, const shard_entry& entry);
    [[nodiscard]] bool pair_took_without_log(const shard_id& shard) const;
    void mark_ledger_incomplete(instant now, const shard_id& shard);
    void reset_shard(instant now, const shard_id& shard, shard_phase phase, fence at);
    void adopt_recorded_move(instant now, const shard_id& shard, held_shard& held,
                             const shard_entry& entry);
    void start_leaving(instant now, held_shard& held, fence at, effects& out);
    void refuse_waiting(instant now, held_shard& held, effects& out);
    void advance_shards(instant now, const log_state& log, effects& out);
    void request_proof(instant now, const shard_id& shard, held_shard& held, const log_state& log,
                       effects& out);
    void advance_granting(instant now, const shard_id& shard, held_shard& held, effects& out);
    void advance_drain(instant now, const shard_id& shard, held_shard& held, effects& out);
    void advance_revoke(instant now, held_shard& held);
    void revoke(instant now, const shard_id& shard, held_shard& held, effects& out);
    void send_command(instant now, server_command it, effects& out);
    void renew_grants(instant now, effects& out);
    void start_serving(instant now, const shard_id& shard, held_shard& held, effects& out);
    void regrant_released(instant now, const log_state& log);
    [[nodiscard]] bool in_flight_ended(instant now, const held_shard& held) const;
    void restore_shards_owned_elsewhere(instant now, const log_state& log);
    [[nodiscard]] bool has_replicated_proof(const shard_id& shard, const shard_entry& entry) const;
    void propose_settlement(instant now, const log_state& log, effects& out);
    void on_server_answer(effects& out);
    void on_server_silence(instant now, bool gone, effects& out);
    void mark_server_lost(instant now, effects& out);
    void fail_over(instant now, const log_state& log, effects& out);
    void give_without_log(instant now, const log_state& log);
    void send_given_shards(instant now, effects& out);
    void expire_unrecorded(instant now);
    [[nodiscard]] bool taken_but_unrecorded(const shard_id& shard, const shard_entry& entry) const;
    void record_moves(instant now, const log_state& log, effects& out);
    void accept_proof(instant now, const shard_release& it, effects& out);
    void give_proof(instant now, const host_id& to, const release_request& it, effects& out);
    void confirm_not_taken(instant now, const host_id& from, const release_request& it,
                           effects& out);
    void reclaim_shard(instant now, const shard_id& shard, fence at);
    void take_without_log(instant now, const host_id& from, const shard_release& it,
                          const log_state& log, effects& out);
    [[nodiscard]] shard_release make_release(instant now, const server_id& to,
                                             const shard_id& shard, fence at) const;
    [[nodiscard]] server_id choose_standby(const log_state& log, const shard_id& shard,
                                           const server_id& owner) const;

    // Requests.
    void begin_on_shard(instant now, active_request& it, effects& out);
    bool answer_from_ledger(instant now, active_request& it, effects& out);
    bool start_run(instant now, active_request& it, effects& out);
    void enqueue(instant now, active_request& it, effects& out);
    void dispatch_queued(instant now, effects& out);
    void send_to_server(instant now, active_request& it, effects& out);
    void refuse(instant now, request_id id, refusal why, duration retry_after, effects& out);
    void forget_request(request_id id);
    void answer_duplicates(const std::vector<request_id>& duplicates, const request_result& result,
                           effects& out);
    void end_run(instant now, const active_request& it, const request_result& result, effects& out);
    void refuse_expired(instant now, effects& out);
    /// reporter: a request that was in flight at the crash and has left requests_.
    void report_crash(instant now, const active_request& reporter);
    [[nodiscard]] duration expected_wait(instant now) const;

    server_id server_;
    host_id self_;
    agent_options options_;
    hooks hooks_;
    pair_member pair_;
    ledger ledger_;
    server_queue queue_;
    crash_guard& guard_;
    std::optional<instant> crash_reported_at_;
    instant fresh_as_of_{};

    // Replication. As leader: newest ledger update sent and acknowledged. As standby: newest update
    // applied without a gap; 0 until a full update was applied.
    std::uint64_t update_number_{};
    std::uint64_t acked_number_{};
    std::uint64_t applied_number_{};
    /// As standby: newest update ever applied in this view. An older full update is ignored.
    std::uint64_t newest_number_{};
    pair_view applied_view_;
    ledger_update pending_update_;
    std::optional<instant> full_update_sent_at_;
    instant flushed_at_{};
    /// State of the shards beyond the log, replicated to the standby.
    std::map<shard_id, shard_fact_entry> facts_;
    /// Number of the ledger update that carries a shard's proof of release to the standby.
    std::map<shard_id, std::uint64_t> proof_updates_;

    // Leader only.
    bool leading_{};
    bool acting_{};
    bool was_standby_{};
    /// Set when this leader started without the previous pair's ledger. Until then the outcome of
    /// keys that are missing from the ledger is `unknown`.
    std::optional<instant> ledger_incomplete_until_;
    /// The log records that this host leads without the previous pair's ledger.
    bool claimed_without_ledger_{};
    /// Until then requests of the previous leader may still be in flight.
    std::optional<instant> inherited_until_;
    /// Newest term of the pair in the log.
    std::uint64_t log_term_{};
    /// Term in which this leadership began.
    std::uint64_t leading_since_term_{};
    pair_view leading_view_;
    instant acting_since_{};
    /// Version of the log's shards that held_ was last updated to.
    std::uint64_t reconciled_version_{};
    std::map<shard_id, held_shard> held_;
    std::map<request_id, active_request> requests_;
    std::map<std::pair<shard_id, std::string>, request_id> runs_by_key_;
    std::map<std::uint64_t, pending_command> commands_;
    /// The server's clock as last reported, in microseconds, and when the report was received.
    std::uint64_t server_clock_{};
    instant server_clock_received_at_{};
    instant next_renewal_{};
    std::optional<instant> silent_since_;
    std::optional<instant> lost_since_;
    bool process_gone_{};
    bool log_reachable_{};
    bool retiring_{};
    std::optional<instant> moves_proposed_at_;
    std::optional<instant> settlement_proposed_at_;
    std::optional<instant> given_sent_at_;
    /// Fences of shards given without the log whose new owner has confirmed the takeover.
    std::map<shard_id, fence> acknowledged_given_;
};

} // namespace quincewing
