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

/// What a member knows of its surroundings when it decides.
struct pair_environment
{
    bool log_reachable{};
    /// Start of the newest read that reached the log's tail.
    instant log_current_as_of{};
    /// Host to take as a new standby; the member itself when there is no other.
    host_id candidate;
    /// The standby is in another data centre and the candidate is not.
    bool candidate_is_preferred{};
};

/// What a member wants sent or appended.
struct pair_actions
{
    std::optional<pair_heartbeat> heartbeat;
    std::optional<pair_change> propose;
};

/// One host's part in the pair of one backend server: who may act, and who takes over.
class pair_member
{
public:
    pair_member(server_id server, host_id self, pair_options options, pair_faults faults = {});

    /// The log's pair, after each replay.
    void on_log_entry(instant now, const pair_entry& entry);
    /// Returns an acknowledgment unless this member must keep silent.
    std::optional<pair_ack> on_heartbeat(instant now, const pair_heartbeat& heartbeat,
                                         std::uint64_t ledger_update_number);
    void on_ack(instant now, const pair_ack& ack);
    /// The host's process is known to be gone. Returns whether the pair changed.
    bool on_host_failure(instant now, const host_id& host, const pair_environment& environment);
    /// A heartbeat outside the rhythm, to get new ledger updates acknowledged.
    std::optional<pair_heartbeat> heartbeat_now(instant now, std::uint64_t ledger_update_number,
                                                instant log_current_as_of);
    pair_actions tick(instant now, const pair_environment& environment,
                      std::uint64_t ledger_update_number);
    /// Gives the leadership to the standby as soon as the log takes it; acts no more.
    void start_handover() { handing_over_ = true; }

    /// Whether this host may act for the server at this moment.
    [[nodiscard]] bool may_act(instant now, instant log_current_as_of) const;
    [[nodiscard]] bool is_leader() const { return view_.leader == self_; }
    [[nodiscard]] bool is_standby() const { return view_.standby == self_ && !is_leader(); }
    /// The standby has the whole ledger and has acknowledged in this view.
    [[nodiscard]] bool standby_in_sync() const { return heard_; }
    [[nodiscard]] bool handing_over() const { return handing_over_; }
    /// A time as of which the leader's read of the log was fresh; the epoch when not known.
    [[nodiscard]] instant leader_log_current_as_of() const { return fresh_from_leader_; }
    [[nodiscard]] const pair_view& view() const { return view_; }
    [[nodiscard]] const pair_options& options() const { return options_; }

private:
    void enter(instant now, pair_view next);
    void set_hold(instant now, const pair_entry& entry, bool was_member);
    [[nodiscard]] bool hold_runs(instant now) const { return hold_until_ && now < *hold_until_; }
    [[nodiscard]] std::optional<pair_change> leader_proposal(instant now,
                                                             const pair_environment& environment);
    [[nodiscard]] std::optional<pair_change> standby_proposal(instant now,
                                                              const pair_environment& environment);
    [[nodiscard]] pair_change change_to(instant now, host_id leader, host_id standby) const;
    [[nodiscard]] pair_heartbeat make_beat(instant now, std::uint64_t ledger_update_number,
                                           instant log_current_as_of);
    [[nodiscard]] bool proof_in_time(instant now, std::optional<instant> counted_from) const;

    server_id server_;
    host_id self_;
    pair_options options_;
    pair_faults faults_;
    pair_view view_;
    std::uint64_t log_term_{};
    instant entered_{};
    std::optional<instant> hold_until_;
    std::optional<instant> proposed_at_;
    bool handing_over_{};

    // As leader.
    std::uint64_t beat_number_{};
    std::deque<std::pair<std::uint64_t, instant>> beats_sent_;
    std::optional<instant> newest_acked_sent_;
    std::optional<instant> last_ack_received_;
    std::uint64_t confirmed_ack_{};
    bool heard_{};
    instant next_beat_{};
    /// No beats to a new standby before the old one's chance to prove a death is over.
    instant quiet_until_{};
    instant not_before_{};

    // As standby.
    std::uint64_t ack_number_{};
    std::deque<std::pair<std::uint64_t, instant>> acks_sent_;
    std::optional<instant> last_ack_sent_;
    std::optional<instant> confirmed_ack_sent_;
    instant last_beat_received_{};
    instant fresh_from_leader_{};
    bool stopped_acking_{};
};

} // namespace quincewing
