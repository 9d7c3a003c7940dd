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
    /// The server refused it as not run because it is busy.
    bool shed{};
};

/// One entry host's part in one backend server: the pair, the server's shards and grants, the
/// ledger of non-idempotent requests, and the queue in front of the server.
class server_agent
{
public:
    /// leader_of gives the host that leads another server, as far as is known here.
    struct hooks
    {
        std::function<host_id(const server_id&)> leader_of;
        std::function<std::uint64_t()> next_command_number;
        /// Whether a server may take over shards, as far as is known here.
        std::function<bool(const server_id&)> server_usable;
    };

    server_agent(server_id server, host_id self, agent_options options, hooks callbacks);

    void on_log(instant now, const log_state& log, effects& out);
    void on_beat(instant now, const host_id& from, const pair_heartbeat& beat, effects& out);
    void on_ack(instant now, const host_id& from, const pair_ack& ack, effects& out);
    void on_update(instant now, const ledger_update& update);
    void on_release_request(instant now, const host_id& from, const release_request& it,
                            const log_state& log, effects& out);
    void on_release(instant now, const host_id& from, const shard_release& it, const log_state& log,
                    effects& out);
    void on_release_taken(instant now, const release_taken& it, effects& out);
    void on_late_answer(instant now, const late_answer& it, effects& out);
    void on_death(instant now, const host_id& host, const pair_environment& around, effects& out);
    void on_command_result(instant now, std::uint64_t number, const command_reply& reply,
                           effects& out);
    void tick(instant now, const pair_environment& around, const log_state& log, effects& out);

    /// A request that this host should serve as the server's leader.
    void begin(instant now, const request_meta& meta, effects& out);
    /// The caller is gone; a run that started goes on.
    void cancel(instant now, request_id id, effects& out);
    void finished(instant now, request_id id, const request_result& result, effects& out);

    /// Sends what the events since the last call have to tell the standby. Call after each batch.
    void flush(instant now, effects& out);
    void hand_over() { pair_.start_handover(); }
    [[nodiscard]] bool may_act(instant now) const { return pair_.may_act(now, fresh_as_of_); }
    [[nodiscard]] const pair_member& pair() const { return pair_; }
    [[nodiscard]] const server_queue& queue() const { return queue_; }
    [[nodiscard]] const ledger& request_ledger() const { return ledger_; }
    [[nodiscard]] const std::map<shard_id, held_shard>& shards() const { return held_; }
    [[nodiscard]] std::size_t requests() const { return requests_.size(); }
    [[nodiscard]] bool server_lost() const { return lost_since_.has_value(); }
    crash_guard& guard() { return guard_; }
    /// Requests in flight when the server crashed, for the other hosts; emptied by the call.
    std::vector<suspect_notice> take_notices();

private:
    enum class stage : std::uint8_t
    {
        waiting_shard,
        copying,
        queued,
        in_flight,
        joined
    };
    struct active_request
    {
        request_meta meta;
        stage at{stage::waiting_shard};
        /// Ledger update that must be acknowledged before the dispatch.
        std::uint64_t copy_number{};
        std::vector<request_id> joiners;
        bool caller_gone{};
        /// Leaves the ledger entry as it is when it ends.
        bool abandoned{};
    };
    struct pending_command
    {
        command_kind kind{command_kind::grant};
        instant sent{};
        std::vector<server_command::item> items;
    };

    // Pair and copies.
    void watch_pair(instant now, effects& out);
    void become_leader(instant now, effects& out);
    void stop_leading(instant now, effects& out);
    void watch_acting(instant now, effects& out);
    void queue_update(const ledger_item& item);
    void queue_fact(instant now, const shard_id& shard);
    void send_whole(instant now, effects& out);
    [[nodiscard]] shard_fact to_fact(instant now, const shard_id& shard) const;
    void put_fact(instant now, const shard_fact& it);
    [[nodiscard]] bool copied(std::uint64_t number) const;

    // Shards and grants.
    void reconcile(instant now, const log_state& log, effects& out);
    void take_owned(instant now, const shard_id& shard, const shard_entry& entry);
    [[nodiscard]] bool taken_alone(const shard_id& shard) const;
    void mark_blind(instant now, const shard_id& shard);
    void hold(instant now, const shard_id& shard, shard_phase phase, fence at);
    void take_recorded(instant now, const shard_id& shard, held_shard& held,
                       const shard_entry& entry);
    void lose_owned(instant now, held_shard& held, fence at, effects& out);
    void refuse_waiting(instant now, held_shard& held, effects& out);
    void advance_shards(instant now, const log_state& log, effects& out);
    void ask_for_proof(instant now, const shard_id& shard, held_shard& held, const log_state& log,
                       effects& out);
    void advance_granting(instant now, const shard_id& shard, held_shard& held, effects& out);
    void advance_drain(instant now, const shard_id& shard, held_shard& held, effects& out);
    void advance_revoke(instant now, held_shard& held);
    void revoke(instant now, const shard_id& shard, held_shard& held, effects& out);
    void command(instant now, server_command it, effects& out);
    void renew(instant now, effects& out);
    void start_serving(instant now, const shard_id& shard, held_shard& held, effects& out);
    void regrant_released(instant now, const log_state& log);
    [[nodiscard]] bool in_flight_ended(instant now, const held_shard& held) const;
    void take_over_owned_elsewhere(instant now, const log_state& log);
    [[nodiscard]] bool proof_in_hand(const shard_id& shard, const shard_entry& entry) const;
    void settle(instant now, const log_state& log, effects& out);
    void on_server_answer(effects& out);
    void on_server_silence(instant now, bool gone, effects& out);
    void lose_server(instant now, effects& out);
    void fail_over(instant now, const log_state& log, effects& out);
    void give_alone(instant now, const log_state& log);
    void send_given(instant now, effects& out);
    void end_alone(instant now);
    [[nodiscard]] bool held_alone(const shard_id& shard, const shard_entry& entry) const;
    void record_given(instant now, const log_state& log, effects& out);
    void take_proof(instant now, const shard_release& it, effects& out);
    void give(instant now, const host_id& to, const release_request& it, effects& out);
    void deny_taken(instant now, const host_id& from, const release_request& it, effects& out);
    void take_back(instant now, const shard_id& shard, fence at);
    void take_alone(instant now, const host_id& from, const shard_release& it, const log_state& log,
                    effects& out);
    [[nodiscard]] shard_release make_release(instant now, const server_id& to,
                                             const shard_id& shard, fence at) const;
    [[nodiscard]] server_id choose_standby(const log_state& log, const shard_id& shard,
                                           const server_id& owner) const;

    // Requests.
    void begin_on_shard(instant now, active_request& it, effects& out);
    bool answer_from_ledger(instant now, active_request& it, effects& out);
    bool start_run(instant now, active_request& it, effects& out);
    void enqueue(instant now, active_request& it, effects& out);
    void pump(instant now, effects& out);
    void send_to_server(instant now, active_request& it, effects& out);
    void refuse(instant now, request_id id, refusal why, duration retry_after, effects& out);
    void forget_request(request_id id);
    void answer_joiners(const std::vector<request_id>& joiners, const request_result& result,
                        effects& out);
    void end_run(instant now, const active_request& it, const request_result& result, effects& out);
    void refuse_late(instant now, effects& out);
    void note_crash(instant now, std::uint64_t fingerprint);
    [[nodiscard]] duration expected_serving(instant now) const;

    server_id server_;
    host_id self_;
    agent_options options_;
    hooks hooks_;
    pair_member pair_;
    ledger ledger_;
    server_queue queue_;
    crash_guard guard_;
    std::vector<suspect_notice> notices_;
    std::optional<instant> crash_noted_at_;
    instant fresh_as_of_{};

    // Copies. As leader: numbers sent; as standby: newest number applied, 0 without the whole.
    std::uint64_t update_number_{};
    std::uint64_t acked_number_{};
    std::uint64_t applied_number_{};
    /// As standby: newest number ever applied in the view; an older whole comes too late.
    std::uint64_t newest_number_{};
    pair_view applied_view_;
    ledger_update outgoing_;
    std::optional<instant> whole_sent_;
    instant flushed_at_{};
    std::map<shard_id, kept_fact> facts_;
    /// Ledger update that carried the proof of release to the standby.
    std::map<shard_id, std::uint64_t> proof_updates_;

    // Leader only.
    bool leading_{};
    bool acting_{};
    bool stood_by_{};
    /// Started without the ledger of the pair before; keys it does not know are told `unknown`
    /// until then.
    std::optional<instant> blind_until_;
    /// The log says that this host starts its leadership so.
    bool claimed_blind_{};
    /// Took over from a leader whose requests may still be in flight until then.
    std::optional<instant> inherited_until_;
    std::uint64_t log_term_{};
    /// Term of the log with which this leadership began.
    std::uint64_t leading_since_{};
    pair_view leading_view_;
    instant acting_since_{};
    std::uint64_t reconciled_version_{};
    std::map<shard_id, held_shard> held_;
    std::map<request_id, active_request> requests_;
    std::map<std::pair<shard_id, std::string>, request_id> runs_;
    std::map<std::uint64_t, pending_command> commands_;
    /// The server's clock as last told, and when that was received here.
    std::uint64_t server_clock_{};
    instant server_clock_at_{};
    instant next_renewal_{};
    std::optional<instant> silent_since_;
    std::optional<instant> lost_since_;
    bool process_gone_{};
    bool log_reachable_{};
    bool retiring_{};
    std::optional<instant> moves_proposed_;
    std::optional<instant> settled_proposed_;
    std::optional<instant> alone_sent_;
    std::map<shard_id, fence> given_taken_;
};

} // namespace quincewing
