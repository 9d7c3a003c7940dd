#include "quincewing/ownership/pair_member.hpp"

#include <algorithm>

namespace quincewing {

namespace {

// A message older than this many others no longer affects any decision.
constexpr std::size_t max_tracked_messages = 4096;

constexpr int unsynced_timeout_factor = 10;

void record_sent(std::deque<std::pair<std::uint64_t, instant>>& list, std::uint64_t number,
                 instant now)
{
    list.emplace_back(number, now);
    if (list.size() > max_tracked_messages) {
        list.pop_front();
    }
}

std::optional<instant> sent_at(const std::deque<std::pair<std::uint64_t, instant>>& list,
                               std::uint64_t number)
{
    // Message numbers in the list are consecutive.
    if (list.empty() || number < list.front().first || number > list.back().first) {
        return {};
    }
    return list[number - list.front().first].second;
}

} // namespace

pair_member::pair_member(server_id server, host_id self, pair_options options, pair_faults faults)
    : server_(std::move(server)), self_(std::move(self)), options_(options), faults_(faults)
{
}

void pair_member::enter_view(instant now, pair_view next)
{
    const bool was_leader = is_leader();
    const bool standby_changes = next.standby != view_.standby;
    // Until a lease after the last acknowledgment, the previous standby may still take over without
    // the log if this host fails, so heartbeats to a new standby wait until then.
    if (was_leader && standby_changes && last_ack_received_at_ &&
        !faults_.no_delay_for_new_standby) {
        previous_pair_active_until_ =
            std::max(previous_pair_active_until_, *last_ack_received_at_ + options_.lease);
    }
    view_ = std::move(next);
    view_entered_at_ = now;
    proposed_at_.reset();
    heartbeats_sent_.clear();
    newest_acked_heartbeat_sent_at_.reset();
    last_ack_received_at_.reset();
    confirmed_ack_ = 0;
    standby_in_sync_ = false;
    next_heartbeat_at_ = now;
    acks_sent_.clear();
    last_synced_ack_sent_at_.reset();
    confirmed_ack_sent_at_.reset();
    last_heartbeat_received_at_ = now;
    stopped_acking_ = false;
}

// The hold starts when this host reads the record of a takeover from outside the pair. A member of
// the previous pair keeps the hold that it already tracks, which may end earlier.
void pair_member::set_hold(instant now, const pair_entry& entry, bool keep_tracked_hold)
{
    if (!entry.isolation_hold || faults_.no_hold_for_third_party) {
        hold_until_.reset();
        return;
    }
    if (keep_tracked_hold && hold_until_) {
        return;
    }
    hold_until_ = now + options_.isolation_hold + options_.drift_bound;
}

void pair_member::on_log_entry(instant now, const pair_entry& entry)
{
    if (entry.term <= log_term_) {
        return;
    }
    log_term_ = entry.term;
    if (entry.term <= view_.term) {
        return;
    }
    const bool was_standby = is_standby();
    const bool was_leader = is_leader();
    const auto last_ack = last_synced_ack_sent_at_;
    const bool took_over = entry.leader == self_ && was_standby && entry.author == self_;
    // Within the pair that made this change, the leader and a standby that was in sync know the
    // remaining hold.
    const bool keeps_hold = view_.has(entry.author) && (was_leader || (was_standby && last_ack));
    set_hold(now, entry, keeps_hold);
    const bool lost_leadership = was_leader && entry.leader != self_;
    enter_view(now, {.leader = entry.leader, .standby = entry.standby, .term = entry.term});
    if (took_over && last_ack && !faults_.takeover_without_wait) {
        act_not_before_ = *last_ack + options_.lease + options_.drift_bound;
        previous_pair_active_until_ = std::max(previous_pair_active_until_, act_not_before_);
    }
    if (lost_leadership) {
        handing_over_ = false;
    }
}

std::optional<pair_ack> pair_member::on_heartbeat(instant now, const pair_heartbeat& heartbeat,
                                                  std::uint64_t ledger_update_number)
{
    if (heartbeat.view.standby != self_ || heartbeat.view.version() < view_.version()) {
        return {};
    }
    if (heartbeat.view.version() > view_.version()) {
        enter_view(now, heartbeat.view);
        hold_until_.reset();
    }
    if (heartbeat.view != view_ || stopped_acking_) {
        return {};
    }
    if (heartbeat.hold_remaining > 0 && !faults_.hold_not_inherited) {
        // Counting from the receipt, not the sending, ends the hold too late rather than too early.
        hold_until_ =
            now + std::chrono::microseconds{heartbeat.hold_remaining} + options_.drift_bound;
    } else {
        hold_until_.reset();
    }
    last_heartbeat_received_at_ = now;
    if (const auto at = sent_at(acks_sent_, heartbeat.confirmed_ack)) {
        confirmed_ack_sent_at_ = std::max(confirmed_ack_sent_at_.value_or(*at), *at);
        // The leader sent this heartbeat after it received that acknowledgment, so subtracting the
        // age from the acknowledgment's time gives a lower bound for the time of the log read.
        if (heartbeat.log_read_age > 0 &&
            at->time_since_epoch().count() > static_cast<duration::rep>(heartbeat.log_read_age)) {
            leader_log_current_as_of_ = std::max(
                leader_log_current_as_of_, *at - std::chrono::microseconds{heartbeat.log_read_age});
        }
    }
    ++ack_number_;
    record_sent(acks_sent_, ack_number_, now);
    if (ledger_update_number > 0) {
        last_synced_ack_sent_at_ = now;
    }
    return pair_ack{.server = server_,
                    .view = view_,
                    .heartbeat = heartbeat.number,
                    .number = ack_number_,
                    .ledger_update_number = ledger_update_number};
}

void pair_member::on_ack(instant now, const pair_ack& ack)
{
    if (!is_leader() || ack.view != view_) {
        return;
    }
    last_ack_received_at_ = now;
    // A standby without the whole ledger is alive and isn't replaced, but its acknowledgment
    // doesn't extend the leader's lease.
    if (ack.ledger_update_number == 0) {
        return;
    }
    const auto sent = sent_at(heartbeats_sent_, ack.heartbeat);
    if (!sent) {
        return;
    }
    standby_in_sync_ = true;
    confirmed_ack_ = std::max(confirmed_ack_, ack.number);
    const auto lease_start = faults_.lease_from_ack_arrival ? now : *sent;
    newest_acked_heartbeat_sent_at_ =
        std::max(newest_acked_heartbeat_sent_at_.value_or(lease_start), lease_start);
}

bool pair_member::may_change_without_log(instant now, std::optional<instant> message_sent_at) const
{
    if (!message_sent_at) {
        return false;
    }
    return faults_.proof_without_time_bound ||
           now < *message_sent_at + options_.lease - options_.drift_bound;
}

bool pair_member::on_host_failure(instant now, const host_id& host,
                                  const pair_environment& environment)
{
    if (handing_over_ || view_.single_member() || environment.candidate == host) {
        return false;
    }
    auto next = view_;
    ++next.round;
    next.standby = environment.candidate;
    if (is_leader() && host == view_.standby &&
        may_change_without_log(now, newest_acked_heartbeat_sent_at_)) {
        // The failed standby can no longer take over, so heartbeats to the new one start at once.
        last_ack_received_at_.reset();
        enter_view(now, std::move(next));
        return true;
    }
    if (is_standby() && host == view_.leader && !stopped_acking_ &&
        may_change_without_log(now, confirmed_ack_sent_at_)) {
        next.leader = self_;
        enter_view(now, std::move(next));
        return true;
    }
    return false;
}

bool pair_member::may_act(instant now, instant log_current_as_of) const
{
    if (!is_leader() || view_.term == 0 || handing_over_ || log_current_as_of == instant{}) {
        return false;
    }
    if (now < act_not_before_ || hold_active(now) ||
        now >= log_current_as_of + options_.isolation_hold) {
        return false;
    }
    // Records that others appended before the hold ended must have been read first.
    if (hold_until_ && log_current_as_of < *hold_until_) {
        return false;
    }
    if (view_.single_member()) {
        return now >= previous_pair_active_until_;
    }
    return standby_in_sync_ && newest_acked_heartbeat_sent_at_ &&
           now < *newest_acked_heartbeat_sent_at_ + options_.lease;
}

pair_heartbeat pair_member::make_heartbeat(instant now, std::uint64_t ledger_update_number,
                                           instant log_current_as_of)
{
    ++heartbeat_number_;
    record_sent(heartbeats_sent_, heartbeat_number_, now);
    next_heartbeat_at_ = now + options_.heartbeat_interval;
    pair_heartbeat heartbeat{.server = server_,
                             .view = view_,
                             .number = heartbeat_number_,
                             .confirmed_ack = confirmed_ack_,
                             .ledger_update_number = ledger_update_number};
    if (hold_active(now)) {
        heartbeat.hold_remaining = static_cast<std::uint64_t>((*hold_until_ - now).count());
    }
    if (log_current_as_of > instant{}) {
        heartbeat.log_read_age =
            static_cast<std::uint64_t>(std::max((now - log_current_as_of).count(), 1L));
    }
    return heartbeat;
}

std::optional<pair_heartbeat> pair_member::heartbeat_now(instant now,
                                                         std::uint64_t ledger_update_number,
                                                         instant log_current_as_of)
{
    if (!is_leader() || view_.single_member() || view_.term == 0 ||
        now < previous_pair_active_until_) {
        return {};
    }
    return make_heartbeat(now, ledger_update_number, log_current_as_of);
}

pair_change pair_member::make_change(instant now, host_id leader, host_id standby) const
{
    return {.server = server_,
            .expected_term = view_.term,
            .leader = std::move(leader),
            .standby = std::move(standby),
            .isolation_hold = hold_active(now) && !faults_.hold_not_inherited};
}

std::optional<pair_change> pair_member::leader_proposal(instant now,
                                                        const pair_environment& environment)
{
    if (handing_over_) {
        return standby_in_sync_
                   ? std::optional{make_change(now, view_.standby, environment.candidate)}
                   : std::nullopt;
    }
    const auto last_contact =
        std::max(last_ack_received_at_.value_or(view_entered_at_), previous_pair_active_until_);
    const bool silent = !view_.single_member() && now - last_contact > options_.silence_timeout;
    const bool candidate_wanted = environment.candidate != self_ &&
                                  (view_.single_member() || environment.candidate_is_preferred);
    if (silent || candidate_wanted) {
        return make_change(now, self_, environment.candidate);
    }
    if (view_.round > 0) {
        return make_change(now, self_, view_.standby);
    }
    return {};
}

std::optional<pair_change> pair_member::standby_proposal(instant now,
                                                         const pair_environment& environment)
{
    // A takeover by a standby without the whole ledger delays service by the isolation hold, so it
    // waits much longer before it proposes one.
    const bool in_sync = last_synced_ack_sent_at_ || faults_.unsynced_standby_treated_as_synced;
    const auto silence_timeout =
        in_sync ? options_.silence_timeout : options_.silence_timeout * unsynced_timeout_factor;
    if (now - last_heartbeat_received_at_ <= silence_timeout) {
        return {};
    }
    auto change = make_change(now, self_, environment.candidate);
    // The leader may still act on a lease from the previous standby, so this host has to wait like
    // a host from outside the pair.
    if (!in_sync) {
        change.isolation_hold = true;
        change.ledger_missing = true;
    }
    stopped_acking_ = true;
    return change;
}

pair_actions pair_member::tick(instant now, const pair_environment& environment,
                               std::uint64_t ledger_update_number)
{
    pair_actions out;
    if (view_.term == 0) {
        return out;
    }
    if (now >= next_heartbeat_at_) {
        out.heartbeat = heartbeat_now(now, ledger_update_number, environment.log_current_as_of);
    }
    if (!environment.log_reachable ||
        (proposed_at_ && now - *proposed_at_ < options_.propose_interval)) {
        return out;
    }
    if (is_leader()) {
        out.propose = leader_proposal(now, environment);
    } else if (is_standby()) {
        out.propose = standby_proposal(now, environment);
    }
    if (out.propose) {
        proposed_at_ = now;
    }
    return out;
}

} // namespace quincewing
