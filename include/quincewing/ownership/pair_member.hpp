#pragma once

#include "quincewing/base/time.hpp"
#include "quincewing/ownership/pair_messages.hpp"
#include "quincewing/ownership/pair_options.hpp"
#include "quincewing/state/record.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <utility>

namespace quincewing {

/// State outside the pair that a member's decisions depend on.
struct pair_environment
{
    bool log_reachable{};
    /// Start of the latest log read that reached the end of the log.
    instant log_current_as_of{};
    /// Host to appoint as the next standby; the member itself when there is no other.
    host_id candidate;
    /// The standby is outside the server's data centre and the candidate is inside it.
    bool candidate_is_preferred{};
};

/// Messages to send and log records to append, as returned by pair_member::tick.
struct pair_actions
{
    std::optional<pair_heartbeat> heartbeat;
    std::optional<pair_change> propose;
};

/// State machine of one host in the leader/standby pair of one backend server. At most one host may
/// act for the server at any time. Performs no I/O.
class pair_member
{
public:
    pair_member(server_id server, host_id self, pair_options options, pair_faults faults = {});

    /// Applies the pair's current log entry; call it after each log replay.
    void on_log_entry(instant now, const pair_entry& entry);
    /// Returns the acknowledgment to send, if any. ledger_update_number is the newest update
    /// applied without a gap; 0 when this host lacks the whole ledger.
    std::optional<pair_ack> on_heartbeat(instant now, const pair_heartbeat& heartbeat,
                                         std::uint64_t ledger_update_number);
    void on_ack(instant now, const pair_ack& ack);
    /// Reports that the host's process is certain to have ended. Returns whether the view changed.
    bool on_host_failure(instant now, const host_id& host, const pair_environment& environment);
    /// Returns an immediate heartbeat, to get new ledger updates acknowledged; empty unless this
    /// host leads a pair and may send heartbeats.
    std::optional<pair_heartbeat> heartbeat_now(instant now, std::uint64_t ledger_update_number,
                                                instant log_current_as_of);
    pair_actions tick(instant now, const pair_environment& environment,
                      std::uint64_t ledger_update_number);
    /// Stops acting and transfers leadership to the standby with the next successful log append.
    void start_handover() { handing_over_ = true; }

    /// Whether this host may act for the server at the local time now.
    [[nodiscard]] bool may_act(instant now, instant log_current_as_of) const;
    [[nodiscard]] bool is_leader() const { return view_.leader == self_; }
    [[nodiscard]] bool is_standby() const { return view_.standby == self_ && !is_leader(); }
    /// Whether the standby has acknowledged in this view with the whole ledger applied.
    [[nodiscard]] bool standby_in_sync() const { return standby_in_sync_; }
    [[nodiscard]] bool handing_over() const { return handing_over_; }
    /// Time as of which the leader had read the whole log; the epoch when unknown.
    [[nodiscard]] instant leader_log_current_as_of() const { return leader_log_current_as_of_; }
    [[nodiscard]] const pair_view& view() const { return view_; }
    [[nodiscard]] const pair_options& options() const { return options_; }

private:
    void enter_view(instant now, pair_view next);
    void set_hold(instant now, const pair_entry& entry, bool keep_tracked_hold);
    [[nodiscard]] bool hold_active(instant now) const { return hold_until_ && now < *hold_until_; }
    [[nodiscard]] std::optional<pair_change> leader_proposal(instant now,
                                                             const pair_environment& environment);
    [[nodiscard]] std::optional<pair_change> standby_proposal(instant now,
                                                              const pair_environment& environment);
    [[nodiscard]] pair_change make_change(instant now, host_id leader, host_id standby) const;
    [[nodiscard]] pair_heartbeat make_heartbeat(instant now, std::uint64_t ledger_update_number,
                                                instant log_current_as_of);
    [[nodiscard]] bool may_change_without_log(instant now,
                                              std::optional<instant> message_sent_at) const;

    server_id server_;
    host_id self_;
    pair_options options_;
    pair_faults faults_;
    pair_view view_;
    std::uint64_t log_term_{};
    instant view_entered_at_{};
    std::optional<instant> hold_until_;
    std::optional<instant> proposed_at_;
    bool handing_over_{};

    // Leader state.
    std::uint64_t heartbeat_number_{};
    std::deque<std::pair<std::uint64_t, instant>> heartbeats_sent_;
    std::optional<instant> newest_acked_heartbeat_sent_at_;
    std::optional<instant> last_ack_received_at_;
    std::uint64_t confirmed_ack_{};
    bool standby_in_sync_{};
    instant next_heartbeat_at_{};
    /// Until then the previous standby may still take over without the log, so heartbeats to a new
    /// standby wait.
    instant previous_pair_active_until_{};
    instant act_not_before_{};

    // Standby state.
    std::uint64_t ack_number_{};
    std::deque<std::pair<std::uint64_t, instant>> acks_sent_;
    std::optional<instant> last_synced_ack_sent_at_;
    std::optional<instant> confirmed_ack_sent_at_;
    instant last_heartbeat_received_at_{};
    instant leader_log_current_as_of_{};
    bool stopped_acking_{};
};

} // namespace quincewing
