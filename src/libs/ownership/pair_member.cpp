#include "quincewing/ownership/pair_member.hpp"

#include <algorithm>

namespace quincewing {

namespace {

// A heartbeat or acknowledgment older than this many others no longer matters to any rule.
constexpr std::size_t messages_remembered = 4096;

constexpr int unheard_patience_factor = 10;

void remember(std::deque<std::pair<std::uint64_t, instant>>& list, std::uint64_t number,
              instant now)
{
    list.emplace_back(number, now);
    if (list.size() > messages_remembered) {
        list.pop_front();
    }
}

std::optional<instant> time_of(const std::deque<std::pair<std::uint64_t, instant>>& list,
                               std::uint64_t number)
{
    // Numbers in the list are consecutive.
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

void pair_member::enter(instant now, pair_view next)
{
    const bool was_leader = is_leader();
    const bool standby_changes = next.standby != view_.standby;
    // The old standby may still prove our death from an acknowledgment that we confirmed, so a
    // new one must not count as standby_in_sync before that is too late.
    if (was_leader && standby_changes && last_ack_received_ && !faults_.no_delay_for_new_standby) {
        quiet_until_ = std::max(quiet_until_, *last_ack_received_ + options_.lease);
    }
    view_ = std::move(next);
    entered_ = now;
    proposed_at_.reset();
    beats_sent_.clear();
    newest_acked_sent_.reset();
    last_ack_received_.reset();
    confirmed_ack_ = 0;
    heard_ = false;
    next_beat_ = now;
    acks_sent_.clear();
    last_ack_sent_.reset();
    confirmed_ack_sent_.reset();
    last_beat_received_ = now;
    stopped_acking_ = false;
}

// A hold runs from the moment when this host read the third party's record; a member of the
// pair before may know from its leader that less is left.
void pair_member::set_hold(instant now, const pair_entry& entry, bool was_member)
{
    if (!entry.isolation_hold || faults_.no_hold_for_third_party) {
        hold_until_.reset();
        return;
    }
    if (was_member && hold_until_) {
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
    const bool stood_by = is_standby();
    const bool led = is_leader();
    const auto last_ack = last_ack_sent_;
    const bool takes_over = entry.leader == self_ && stood_by && entry.author == self_;
    // Only a standby_in_sync member of the pair that changes knows how much of its hold is left.
    const bool knows_hold = view_.has(entry.author) && (led || (stood_by && last_ack));
    set_hold(now, entry, knows_hold);
    const bool gave_away = led && entry.leader != self_;
    enter(now, {.leader = entry.leader, .standby = entry.standby, .term = entry.term});
    if (takes_over && last_ack && !faults_.takeover_without_wait) {
        not_before_ = *last_ack + options_.lease + options_.drift_bound;
        quiet_until_ = std::max(quiet_until_, not_before_);
    }
    if (gave_away) {
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
        enter(now, heartbeat.view);
        hold_until_.reset();
    }
    if (heartbeat.view != view_ || stopped_acking_) {
        return {};
    }
    if (heartbeat.hold_remaining > 0 && !faults_.hold_not_inherited) {
        // The heartbeat was sent before now, so this errs on the late side.
        hold_until_ =
            now + std::chrono::microseconds{heartbeat.hold_remaining} + options_.drift_bound;
    } else {
        hold_until_.reset();
    }
    last_beat_received_ = now;
    if (const auto at = time_of(acks_sent_, heartbeat.confirmed_ack)) {
        confirmed_ack_sent_ = std::max(confirmed_ack_sent_.value_or(*at), *at);
        // The leader sent this heartbeat after it got that acknowledgment, so its read is no older.
        if (heartbeat.log_read_age > 0 &&
            at->time_since_epoch().count() > static_cast<duration::rep>(heartbeat.log_read_age)) {
            fresh_from_leader_ = std::max(fresh_from_leader_,
                                          *at - std::chrono::microseconds{heartbeat.log_read_age});
        }
    }
    ++ack_number_;
    remember(acks_sent_, ack_number_, now);
    if (ledger_update_number > 0) {
        last_ack_sent_ = now;
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
    last_ack_received_ = now;
    // An acknowledgment without the whole ledger keeps the standby from being replaced,
    // but lets nobody act.
    if (ack.ledger_update_number == 0) {
        return;
    }
    const auto sent = time_of(beats_sent_, ack.heartbeat);
    if (!sent) {
        return;
    }
    heard_ = true;
    confirmed_ack_ = std::max(confirmed_ack_, ack.number);
    const auto counted = faults_.lease_from_ack_arrival ? now : *sent;
    newest_acked_sent_ = std::max(newest_acked_sent_.value_or(counted), counted);
}

bool pair_member::proof_in_time(instant now, std::optional<instant> counted_from) const
{
    if (!counted_from) {
        return false;
    }
    return faults_.proof_without_time_bound ||
           now < *counted_from + options_.lease - options_.drift_bound;
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
    if (is_leader() && host == view_.standby && proof_in_time(now, newest_acked_sent_)) {
        // The dead standby can prove nothing any more, so its successor is standby_in_sync at once.
        last_ack_received_.reset();
        enter(now, std::move(next));
        return true;
    }
    if (is_standby() && host == view_.leader && !stopped_acking_ &&
        proof_in_time(now, confirmed_ack_sent_)) {
        next.leader = self_;
        enter(now, std::move(next));
        return true;
    }
    return false;
}

bool pair_member::may_act(instant now, instant log_current_as_of) const
{
    if (!is_leader() || view_.term == 0 || handing_over_ || log_current_as_of == instant{}) {
        return false;
    }
    if (now < not_before_ || hold_runs(now) || now >= log_current_as_of + options_.isolation_hold) {
        return false;
    }
    // What others recorded until the end of the hold has to be known first.
    if (hold_until_ && log_current_as_of < *hold_until_) {
        return false;
    }
    if (view_.single_member()) {
        return now >= quiet_until_;
    }
    return heard_ && newest_acked_sent_ && now < *newest_acked_sent_ + options_.lease;
}

pair_heartbeat pair_member::make_beat(instant now, std::uint64_t ledger_update_number,
                                      instant log_current_as_of)
{
    ++beat_number_;
    remember(beats_sent_, beat_number_, now);
    next_beat_ = now + options_.heartbeat_interval;
    pair_heartbeat heartbeat{.server = server_,
                             .view = view_,
                             .number = beat_number_,
                             .confirmed_ack = confirmed_ack_,
                             .ledger_update_number = ledger_update_number};
    if (hold_runs(now)) {
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
    if (!is_leader() || view_.single_member() || view_.term == 0 || now < quiet_until_) {
        return {};
    }
    return make_beat(now, ledger_update_number, log_current_as_of);
}

pair_change pair_member::change_to(instant now, host_id leader, host_id standby) const
{
    return {.server = server_,
            .expected_term = view_.term,
            .leader = std::move(leader),
            .standby = std::move(standby),
            .isolation_hold = hold_runs(now) && !faults_.hold_not_inherited};
}

std::optional<pair_change> pair_member::leader_proposal(instant now,
                                                        const pair_environment& environment)
{
    if (handing_over_) {
        return heard_ ? std::optional{change_to(now, view_.standby, environment.candidate)}
                      : std::nullopt;
    }
    const auto heard_at = std::max(last_ack_received_.value_or(entered_), quiet_until_);
    const bool silent = !view_.single_member() && now - heard_at > options_.silence_timeout;
    const bool better = environment.candidate != self_ &&
                        (view_.single_member() || environment.candidate_is_preferred);
    if (silent || better) {
        return change_to(now, self_, environment.candidate);
    }
    if (view_.round > 0) {
        return change_to(now, self_, view_.standby);
    }
    return {};
}

std::optional<pair_change> pair_member::standby_proposal(instant now,
                                                         const pair_environment& environment)
{
    // A takeover by an unheard standby costs the isolation hold, so it waits much longer.
    const bool full = last_ack_sent_ || faults_.unsynced_standby_treated_as_synced;
    const auto silence_timeout =
        full ? options_.silence_timeout : options_.silence_timeout * unheard_patience_factor;
    if (now - last_beat_received_ <= silence_timeout) {
        return {};
    }
    auto change = change_to(now, self_, environment.candidate);
    // The leader may still act under the standby before us: we are no more than a third party.
    if (!full) {
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
    if (now >= next_beat_) {
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
