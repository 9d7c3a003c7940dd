#include "quincewing/control/server_agent.hpp"

#include "quincewing/base/invariant.hpp"

#include <algorithm>

/// The agent's shards: what the log gives and takes, grants, drains, the server's life.
namespace quincewing {

void server_agent::reconcile(instant now, const log_state& log, effects& out)
{
    reconciled_version_ = log.shards_version();
    for (const auto& [shard, entry] : log.shards()) {
        const auto fact = facts_.find(shard);
        const bool given_here = fact != facts_.end() && !fact->second.given_to.value.empty();
        const bool older = fact != facts_.end() && entry.fence > fact->second.fence;
        const bool passed = (older || (given_here && entry.fence == fact->second.fence)) &&
                            entry.owner != server_ && !entry.previous_owner && !taken_alone(shard);
        if (passed && !held_.contains(shard)) {
            facts_.erase(fact);
        }
        if (entry.owner == server_) {
            take_owned(now, shard, entry);
            continue;
        }
        const auto held = held_.find(shard);
        if (held == held_.end()) {
            continue;
        }
        if (entry.fence > held->second.fence) {
            lose_owned(now, held->second, entry.fence, out);
        }
        // Until the move is settled, whoever takes the shard may still ask for its ledger.
        const bool asked_by_move = !held->second.was_alone || entry.fence > held->second.left_at;
        if (held->second.phase == shard_phase::released && held->second.leaving &&
            !entry.previous_owner && asked_by_move) {
            held_.erase(held);
            facts_.erase(shard);
            proof_updates_.erase(shard);
            ledger_.erase_shard(shard);
        }
    }
    take_over_owned_elsewhere(now, log);
}

// Shards that this pair had before this host led it: given here alone, or still to be released.
void server_agent::take_over_owned_elsewhere(instant now, const log_state& log)
{
    for (const auto& [shard, entry] : log.shards()) {
        if (entry.owner == server_ || held_.contains(shard)) {
            continue;
        }
        const auto fact = facts_.find(shard);
        const bool given_here = fact != facts_.end() && fact->second.given_to.value.empty() &&
                                fact->second.fence > entry.fence;
        if (given_here) {
            // How long it may be served alone is not known here: the record has to be read first,
            // and the leader before may just have renewed the grant.
            hold(now, shard, shard_phase::draining, fact->second.fence);
            held_[shard].was_alone = true;
        } else if (entry.previous_owner == server_ || taken_alone(shard)) {
            mark_blind(now, shard);
            hold(now, shard, shard_phase::draining, {});
            held_[shard].leaving = true;
            held_[shard].left_at = entry.fence;
            held_[shard].was_alone = taken_alone(shard);
        }
    }
}

// The pair took the shard without the log at some time, so the ledger here may be the newest.
bool server_agent::taken_alone(const shard_id& shard) const
{
    const auto fact = facts_.find(shard);
    return fact != facts_.end() && fact->second.given_to.value.empty() &&
           fact->second.fence.round > 0;
}

void server_agent::mark_blind(instant now, const shard_id& shard)
{
    if (!blind_until_ || now >= *blind_until_) {
        return;
    }
    auto& fact = facts_[shard];
    if (!fact.blind_until || *fact.blind_until < *blind_until_) {
        fact.blind_until = blind_until_;
        queue_fact(now, shard);
    }
}

void server_agent::hold(instant now, const shard_id& shard, shard_phase phase, fence at)
{
    auto& held = held_[shard];
    held.phase = phase;
    held.fence = at;
    held.since = now;
    held.leaving = false;
    held.was_alone = false;
    held.asked_at.reset();
    held.alone_until.reset();
    held.ask = {};
    held.not_taken_by = {};
}

void server_agent::take_owned(instant now, const shard_id& shard, const shard_entry& entry)
{
    const auto fact = facts_.find(shard);
    const bool given_away = fact != facts_.end() && !fact->second.given_to.value.empty();
    if (given_away && fact->second.fence > entry.fence) {
        return;
    }
    // Given to another server without the log, and the log keeps it here: ask that server first.
    const auto alone_at =
        given_away && fact->second.fence.round > 0 ? fact->second.given_to : server_id{};
    if (given_away) {
        facts_.erase(fact);
    }
    mark_blind(now, shard);
    const auto held = held_.find(shard);
    if (held != held_.end() && !held->second.leaving && alone_at.value.empty()) {
        take_recorded(now, shard, held->second, entry);
        return;
    }
    if (held != held_.end() && entry.fence <= held->second.fence) {
        return;
    }
    const bool proven = !entry.previous_owner || entry.previous_owner == server_ ||
                        options_.faults.grant_without_proof ||
                        (facts_.contains(shard) && facts_[shard].fence >= entry.fence);
    const bool ask = !proven || !alone_at.value.empty();
    hold(now, shard, ask ? shard_phase::awaiting_proof : shard_phase::granting, entry.fence);
    held_[shard].ask = alone_at;
}

// A move made alone goes on under the log's fence if it was recorded in time. Otherwise the old
// owner may have a new leader that serves the shard, which has to be asked.
void server_agent::take_recorded(instant now, const shard_id& shard, held_shard& held,
                                 const shard_entry& entry)
{
    if (entry.fence <= held.fence) {
        return;
    }
    held.fence = entry.fence;
    // A shard that was taken alone has its proof; another that comes from elsewhere has not.
    const bool late = held.alone_until ? now >= *held.alone_until
                                       : entry.previous_owner && *entry.previous_owner != server_;
    held.alone_until.reset();
    held.ask = {};
    held.not_taken_by = {};
    if (late || held.phase == shard_phase::awaiting_proof) {
        held.phase = shard_phase::awaiting_proof;
        held.asked_at.reset();
        return;
    }
    held.phase = shard_phase::granting;
    held.was_alone = false;
    // What was taken alone is the log's now.
    const auto fact = facts_.find(shard);
    if (fact != facts_.end() && fact->second.given_to.value.empty()) {
        fact->second.fence = entry.fence;
        queue_fact(now, shard);
    }
}

void server_agent::lose_owned(instant now, held_shard& held, fence at, effects& out)
{
    refuse_waiting(now, held, out);
    held.leaving = true;
    held.left_at = at;
    if (held.phase == shard_phase::serving || held.phase == shard_phase::granting) {
        held.phase = shard_phase::draining;
        held.since = now;
    } else if (held.phase == shard_phase::awaiting_proof) {
        held.phase = shard_phase::released;
    }
}

void server_agent::refuse_waiting(instant now, held_shard& held, effects& out)
{
    const auto waiting = std::move(held.waiting);
    held.waiting.clear();
    for (const auto id : waiting) {
        refuse(now, id, refusal::shard_unavailable, duration{0}, out);
    }
}

void server_agent::advance_shards(instant now, const log_state& log, effects& out)
{
    if (!acting_) {
        return;
    }
    if (!lost_since_) {
        regrant_released(now, log);
    }
    end_alone(now);
    for (auto& [shard, held] : held_) {
        switch (held.phase) {
        case shard_phase::awaiting_proof:
            ask_for_proof(now, shard, held, log, out);
            break;
        case shard_phase::granting:
            advance_granting(now, shard, held, out);
            break;
        case shard_phase::draining:
            advance_drain(now, shard, held, out);
            break;
        case shard_phase::revoking:
            advance_revoke(now, held);
            break;
        default:
            break;
        }
    }
    settle(now, log, out);
    record_given(now, log, out);
    if (lost_since_) {
        fail_over(now, log, out);
    }
    send_given(now, out);
}

// A shard that comes while the server is lost is passed on like those that were here.
void server_agent::advance_granting(instant now, const shard_id& shard, held_shard& held,
                                    effects& out)
{
    if (lost_since_) {
        held.phase = shard_phase::draining;
        held.since = now;
    } else if (!options_.checks_fences) {
        start_serving(now, shard, held, out);
    }
}

void server_agent::ask_for_proof(instant now, const shard_id& shard, held_shard& held,
                                 const log_state& log, effects& out)
{
    if (held.asked_at && now - *held.asked_at < options_.ask_again_every) {
        return;
    }
    const auto entry = log.shards().find(shard);
    if (entry == log.shards().end() || entry->second.owner != server_) {
        return;
    }
    // Settled meanwhile by the leader before us: the proof was in hand then.
    if (!entry->second.previous_owner && held.ask.value.empty()) {
        held.phase = shard_phase::granting;
        return;
    }
    held.asked_at = now;
    const auto from = held.ask.value.empty() ? *entry->second.previous_owner : held.ask;
    out.send(hooks_.leader_of(from), release_request{.from = from,
                                                     .to = server_,
                                                     .shard = shard,
                                                     .fence = held.fence,
                                                     .not_taken_by = held.not_taken_by});
}

bool server_agent::in_flight_ended(instant now, const held_shard& held) const
{
    if (options_.checks_fences) {
        return held.in_flight == 0 || lost_since_.has_value();
    }
    const bool inherited = inherited_until_ && now < *inherited_until_ && !process_gone_;
    return held.in_flight == 0 && !inherited;
}

void server_agent::advance_drain(instant now, const shard_id& shard, held_shard& held, effects& out)
{
    if (in_flight_ended(now, held)) {
        revoke(now, shard, held, out);
        return;
    }
    if (now - held.since < options_.drain_timeout || lost_since_) {
        return;
    }
    for (const auto& [id, it] : requests_) {
        if (it.at == stage::in_flight && it.meta.shard == shard) {
            out.aborts.push_back(id);
        }
    }
}

void server_agent::revoke(instant now, const shard_id& shard, held_shard& held, effects& out)
{
    if (!options_.checks_fences || process_gone_) {
        held.phase = shard_phase::released;
        held.since = now;
        return;
    }
    held.phase = shard_phase::revoking;
    held.since = now;
    if (!lost_since_ && held.leaving) {
        command(now,
                {.kind = command_kind::revoke, .items = {{.shard = shard, .fence = held.left_at}}},
                out);
    }
}

// Without the server's answer, the last grant's lapse is the proof.
void server_agent::advance_revoke(instant now, held_shard& held)
{
    const auto lapse = held.since + options_.grant_lease + options_.pair.drift_bound;
    if (process_gone_ || now >= lapse || options_.faults.no_wait_for_grant_lapse) {
        held.phase = shard_phase::released;
        held.since = now;
    }
}

void server_agent::command(instant now, server_command it, effects& out)
{
    it.number = hooks_.next_command_number();
    it.server = server_;
    it.lease = options_.grant_lease;
    commands_[it.number] = {.kind = it.kind, .sent = now, .items = it.items};
    out.commands.push_back(std::move(it));
}

void server_agent::renew(instant now, effects& out)
{
    if (!acting_ || now < next_renewal_) {
        return;
    }
    next_renewal_ = now + options_.renew_interval;
    // Answers that did not come within the lease are lost.
    std::erase_if(commands_, [&](const auto& it) {
        return now - it.second.sent > options_.grant_lease + options_.server_patience;
    });
    server_command order{.kind = command_kind::grant};
    const bool may_grant = !lost_since_ && options_.checks_fences && server_clock_ > 0;
    for (const auto& [shard, held] : held_) {
        const bool granted = held.phase == shard_phase::serving ||
                             held.phase == shard_phase::granting ||
                             held.phase == shard_phase::draining;
        // A drain that was inherited is not ours to renew: its fence is unknown here.
        if (may_grant && granted && held.fence.offset > 0) {
            order.items.push_back({.shard = shard, .fence = held.fence});
        }
    }
    // The server read its clock before the answer came, so its clock is at least this far on.
    const auto since = static_cast<std::uint64_t>((now - server_clock_at_).count());
    const auto lease = static_cast<std::uint64_t>(options_.grant_lease.count());
    order.until = server_clock_ + since + lease;
    command(now, std::move(order), out);
}

void server_agent::start_serving(instant now, const shard_id& shard, held_shard& held, effects& out)
{
    check_invariant(leading_ && acting_, "only an acting leader starts to serve a shard");
    held.phase = shard_phase::serving;
    held.since = now;
    const auto waiting = std::move(held.waiting);
    held.waiting.clear();
    for (const auto id : waiting) {
        const auto found = requests_.find(id);
        if (found != requests_.end()) {
            begin_on_shard(now, found->second, out);
        }
    }
    (void)shard;
}

void server_agent::on_command_result(instant now, std::uint64_t number, const command_reply& reply,
                                     effects& out)
{
    const auto result = reply.result;
    const auto found = commands_.find(number);
    if (found == commands_.end() || !leading_) {
        return;
    }
    const auto sent = std::move(found->second);
    commands_.erase(found);
    if (result == command_result::no_answer || result == command_result::process_gone) {
        on_server_silence(now, result == command_result::process_gone, out);
        return;
    }
    const bool first_clock = server_clock_ == 0 && reply.server_clock > 0;
    if (reply.server_clock > 0) {
        server_clock_ = reply.server_clock;
        server_clock_at_ = now;
    }
    if (first_clock) {
        next_renewal_ = now;
    }
    on_server_answer(out);
    for (const auto& item : sent.items) {
        const auto held = held_.find(item.shard);
        if (held == held_.end() || !acting_) {
            continue;
        }
        const auto& expected =
            sent.kind == command_kind::revoke ? held->second.left_at : held->second.fence;
        if (expected != item.fence) {
            continue;
        }
        const bool done = result == command_result::done;
        if (sent.kind == command_kind::revoke && held->second.phase == shard_phase::revoking &&
            done) {
            held->second.phase = shard_phase::released;
        } else if (sent.kind == command_kind::grant && done &&
                   held->second.phase == shard_phase::granting) {
            start_serving(now, item.shard, held->second, out);
        }
    }
    pump(now, out);
}

void server_agent::on_server_answer(effects& out)
{
    silent_since_.reset();
    process_gone_ = false;
    if (!lost_since_) {
        return;
    }
    lost_since_.reset();
    queue_.reset_limit();
    out.note("server_back", server_.value);
}

// Shards that stayed ours in the log while the server was away.
void server_agent::regrant_released(instant now, const log_state& log)
{
    for (auto& [shard, held] : held_) {
        const auto entry = log.shards().find(shard);
        const auto fact = facts_.find(shard);
        const bool given = fact != facts_.end() && !fact->second.given_to.value.empty();
        const bool stopped = held.phase == shard_phase::released ||
                             held.phase == shard_phase::revoking ||
                             held.phase == shard_phase::draining;
        if (stopped && !given && entry != log.shards().end() && entry->second.owner == server_) {
            held.phase = shard_phase::granting;
            held.since = now;
        }
    }
}

void server_agent::on_server_silence(instant now, bool gone, effects& out)
{
    if (!acting_) {
        return;
    }
    silent_since_ = silent_since_.value_or(now);
    const bool patient = now - *silent_since_ < options_.server_patience;
    if (lost_since_) {
        process_gone_ = process_gone_ || gone;
        return;
    }
    if (gone) {
        process_gone_ = true;
        lose_server(now, out);
    } else if (!patient) {
        lose_server(now, out);
    }
}

void server_agent::lose_server(instant now, effects& out)
{
    lost_since_ = now;
    moves_proposed_.reset();
    out.note("server_lost", server_.value, process_gone_ ? "process gone" : "silent");
    for (auto& [shard, held] : held_) {
        if (held.phase == shard_phase::serving || held.phase == shard_phase::granting) {
            held.phase = shard_phase::draining;
            held.since = now;
        }
    }
}

const char* to_string(shard_phase it)
{
    switch (it) {
    case shard_phase::awaiting_proof:
        return "awaiting_proof";
    case shard_phase::granting:
        return "granting";
    case shard_phase::serving:
        return "serving";
    case shard_phase::draining:
        return "draining";
    case shard_phase::revoking:
        return "revoking";
    case shard_phase::released:
        return "released";
    }
    return "released";
}

} // namespace quincewing
