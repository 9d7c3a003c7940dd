#include "quincewing/control/server_agent.hpp"

#include <algorithm>

/// server_agent: pair membership, and replication of the ledger and shard facts to the standby.
namespace quincewing {

namespace {

constexpr millis full_update_interval{200};

std::string describe(const pair_view& view)
{
    return "leader=" + view.leader.value + " standby=" + view.standby.value +
           " term=" + std::to_string(view.term) + "." + std::to_string(view.round);
}

} // namespace

server_agent::server_agent(server_id server, host_id self, agent_options options, hooks callbacks,
                           crash_guard& guard)
    : server_(std::move(server)), self_(std::move(self)), options_(options),
      hooks_(std::move(callbacks)), pair_(server_, self_, options.pair, options.faults_of_pair),
      ledger_(options.ledger), queue_(options.queue), guard_(guard)
{
}

void server_agent::on_log(instant now, const log_state& log, effects& out)
{
    const auto found = log.pairs().find(server_);
    if (found == log.pairs().end()) {
        return;
    }
    const auto& entry = found->second;
    const auto server = log.servers().find(server_);
    retiring_ = server != log.servers().end() && server->second.retiring;
    if (entry.term > log_term_) {
        log_term_ = entry.term;
        // A host that was not in the pair claims it without the ledger.
        claimed_without_ledger_ = entry.leader == self_ && entry.ledger_missing && !leading_;
    }
    pair_.on_log_entry(now, entry);
    // Another host led in between, so the state of this leadership is out of date.
    if (leading_ && pair_.view().term == entry.term &&
        entry.leader_first_term > leading_since_term_ &&
        entry.previous_leader_last_term != leading_since_term_) {
        stop_leading(now, out);
        claimed_without_ledger_ = true;
    }
    update_role(now, out);
    if (leading_ && reconciled_version_ != log.shards_version()) {
        reconcile(now, log, out);
    }
}

void server_agent::update_role(instant now, effects& out)
{
    if (pair_.is_standby()) {
        was_standby_ = true;
    }
    if (leading_ && !pair_.is_leader()) {
        stop_leading(now, out);
    }
    if (!pair_.is_leader()) {
        return;
    }
    if (!leading_) {
        become_leader(now, out);
    }
    if (leading_view_ != pair_.view()) {
        leading_view_ = pair_.view();
        acked_number_ = 0;
        full_update_sent_at_.reset();
        out.add_change("pair", server_.value, describe(leading_view_));
    }
    update_acting(now, out);
}

void server_agent::become_leader(instant now, effects& out)
{
    leading_ = true;
    acting_ = false;
    leading_since_term_ = pair_.view().term;
    const bool incomplete = was_standby_ && applied_number_ == 0;
    update_number_ = std::max(update_number_, applied_number_) + 1;
    pending_update_ = {};
    reconciled_version_ = 0;
    silent_since_.reset();
    lost_since_.reset();
    process_gone_ = false;
    server_clock_ = 0;
    queue_.reset_limit();
    if (claimed_without_ledger_ || incomplete) {
        ledger_incomplete_until_ = now + options_.ledger.window;
        out.add_change("ledger_lost", server_.value);
    }
}

void server_agent::update_acting(instant now, effects& out)
{
    const bool acts = may_act(now);
    if (acts == acting_) {
        return;
    }
    acting_ = acts;
    out.add_change(acts ? "acting" : "not_acting", server_.value, describe(pair_.view()));
    if (!acts || acting_since_ > instant{}) {
        return;
    }
    acting_since_ = now;
    next_renewal_ = now;
    if (was_standby_ || ledger_incomplete_until_) {
        inherited_until_ = now + options_.max_request_time;
    }
}

void server_agent::stop_leading(instant now, effects& out)
{
    leading_ = false;
    acting_ = false;
    acting_since_ = {};
    inherited_until_.reset();
    was_standby_ = false;
    ledger_incomplete_until_.reset();
    claimed_without_ledger_ = false;
    applied_number_ = 0;
    for (auto& [id, it] : requests_) {
        it.abandoned = it.abandoned || it.stage == request_stage::in_flight;
    }
    refuse_undispatched(now, refusal::not_leader, duration{0}, out);
    held_.clear();
    runs_by_key_.clear();
    commands_.clear();
    proof_updates_.clear();
    acknowledged_given_.clear();
    pending_update_ = {};
    out.add_change("not_leading", server_.value, describe(pair_.view()));
}

// A single member that stops to act would leave nobody to act in its place.
void server_agent::hand_over()
{
    if (pair_.is_leader() && !pair_.view().single_member()) {
        pair_.start_handover();
    }
}

void server_agent::refuse_undispatched(instant now, refusal why, duration retry_after, effects& out)
{
    std::vector<request_id> waiting;
    for (const auto& [id, it] : requests_) {
        if (it.stage != request_stage::in_flight && it.stage != request_stage::joined_run) {
            waiting.push_back(id);
        }
    }
    for (const auto id : waiting) {
        refuse(now, id, why, retry_after, out);
    }
}

void server_agent::on_heartbeat(instant now, const host_id& from, const pair_heartbeat& beat,
                                effects& out)
{
    const bool complete = applied_view_ == beat.view && applied_number_ > 0;
    if (const auto ack = pair_.on_heartbeat(now, beat, complete ? applied_number_ : 0)) {
        out.send(from, *ack);
    }
    update_role(now, out);
}

void server_agent::on_ack(instant now, const host_id& /*from*/, const pair_ack& ack, effects& out)
{
    pair_.on_ack(now, ack);
    if (!leading_ || ack.view != pair_.view()) {
        return;
    }
    // The newest update was lost, and no later one has shown the gap to the standby.
    const bool behind =
        ack.ledger_update_number < update_number_ && now - flushed_at_ > full_update_interval;
    const bool due = !full_update_sent_at_ || now - *full_update_sent_at_ >= full_update_interval;
    if ((ack.ledger_update_number == 0 || behind) && due) {
        send_full_update(now, out);
    }
    if (ack.ledger_update_number == 0) {
        return;
    }
    acked_number_ = std::max(acked_number_, ack.ledger_update_number);
    update_acting(now, out);
    dispatch_queued(now, out);
}

void server_agent::send_full_update(instant now, effects& out)
{
    flush(now, out);
    full_update_sent_at_ = now;
    ledger_update update{.server = server_,
                         .view = pair_.view(),
                         .number = update_number_,
                         .whole = true,
                         .items = ledger_.items(now)};
    for (const auto& [shard, fact] : facts_) {
        update.facts.push_back(to_fact(now, shard));
    }
    out.send(pair_.view().standby, std::move(update));
    if (const auto beat = pair_.heartbeat_now(now, update_number_, fresh_as_of_)) {
        out.send(pair_.view().standby, *beat);
    }
}

void server_agent::on_update(instant now, const ledger_update& update)
{
    if (!pair_.is_standby() || update.view != pair_.view()) {
        return;
    }
    if (applied_view_ != update.view) {
        applied_view_ = update.view;
        applied_number_ = 0;
        newest_number_ = 0;
    }
    // An old or repeated update.
    if (update.number < newest_number_ || update.number <= applied_number_) {
        return;
    }
    if (!update.whole && (applied_number_ == 0 || update.number != applied_number_ + 1)) {
        applied_number_ = 0;
        return;
    }
    if (update.whole) {
        ledger_.clear();
        facts_.clear();
    }
    for (const auto& item : update.items) {
        ledger_.apply(now, item);
    }
    for (const auto& fact : update.facts) {
        store_fact(now, fact);
    }
    applied_number_ = update.number;
    newest_number_ = update.number;
}

void server_agent::queue_ledger_item(const ledger_item& item)
{
    pending_update_.items.push_back(item);
}

void server_agent::queue_fact(instant now, const shard_id& shard)
{
    pending_update_.facts.push_back(to_fact(now, shard));
}

void server_agent::flush(instant now, effects& out)
{
    if (pending_update_.items.empty() && pending_update_.facts.empty()) {
        return;
    }
    ++update_number_;
    flushed_at_ = now;
    auto update = std::move(pending_update_);
    pending_update_ = {};
    if (!leading_ || pair_.view().single_member()) {
        dispatch_queued(now, out);
        return;
    }
    update.server = server_;
    update.view = pair_.view();
    update.number = update_number_;
    out.send(pair_.view().standby, std::move(update));
    if (const auto beat = pair_.heartbeat_now(now, update_number_, fresh_as_of_)) {
        out.send(pair_.view().standby, *beat);
    }
}

bool server_agent::replicated(std::uint64_t number) const
{
    return pair_.view().single_member() ? update_number_ >= number : acked_number_ >= number;
}

shard_fact server_agent::to_fact(instant now, const shard_id& shard) const
{
    const auto& it = facts_.at(shard);
    shard_fact out{.shard = shard, .fence = it.fence, .given_to = it.given_to};
    if (it.ledger_incomplete_until && *it.ledger_incomplete_until > now) {
        out.blind_left = static_cast<std::uint64_t>((*it.ledger_incomplete_until - now).count());
    }
    return out;
}

void server_agent::store_fact(instant now, const shard_fact& it)
{
    auto& to = facts_[it.shard];
    to.fence = it.fence;
    to.given_to = it.given_to;
    to.ledger_incomplete_until.reset();
    if (it.blind_left > 0) {
        to.ledger_incomplete_until = now + std::chrono::microseconds{it.blind_left};
    }
}

void server_agent::on_process_gone(instant now, const host_id& host, const pair_environment& around,
                                   effects& out)
{
    if (pair_.on_host_failure(now, host, around)) {
        update_role(now, out);
    }
}

void server_agent::tick(instant now, const pair_environment& around, const log_state& log,
                        effects& out)
{
    fresh_as_of_ =
        std::max({fresh_as_of_, around.log_current_as_of, pair_.leader_log_current_as_of()});
    log_reachable_ = around.log_reachable;
    ledger_.expire(now);
    auto known = around;
    known.log_current_as_of = fresh_as_of_;
    auto actions = pair_.tick(now, known, update_number_);
    if (actions.heartbeat) {
        out.send(pair_.view().standby, *actions.heartbeat);
    }
    if (actions.propose) {
        out.appends.emplace_back(std::move(*actions.propose));
    }
    update_role(now, out);
    if (leading_) {
        if (reconciled_version_ != log.shards_version()) {
            reconcile(now, log, out);
        }
        advance_shards(now, log, out);
        renew_grants(now, out);
        refuse_expired(now, out);
        dispatch_queued(now, out);
    }
    flush(now, out);
}

} // namespace quincewing
