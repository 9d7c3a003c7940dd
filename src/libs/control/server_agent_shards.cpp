#include "quincewing/control/server_agent.hpp"

/// server_agent: shards as assigned by the log, and draining.
namespace quincewing {

void server_agent::reconcile(instant now, const log_state& log, effects& out)
{
    reconciled_version_ = log.shards_version();
    for (const auto& [shard, entry] : log.shards()) {
        const auto fact = facts_.find(shard);
        const bool given_away = fact != facts_.end() && !fact->second.given_to.value.empty();
        const bool older = fact != facts_.end() && entry.fence > fact->second.fence;
        const bool obsolete = (older || (given_away && entry.fence == fact->second.fence)) &&
                              entry.owner != server_ && !entry.previous_owner &&
                              !pair_took_without_log(shard);
        if (obsolete && !held_.contains(shard)) {
            facts_.erase(fact);
        }
        if (entry.owner == server_) {
            acquire_owned(now, shard, entry);
            continue;
        }
        const auto held = held_.find(shard);
        if (held == held_.end()) {
            continue;
        }
        if (entry.fence > held->second.fence) {
            start_leaving(now, held->second, entry.fence, out);
        }
        // Until the move is settled, the new owner may still request the shard's ledger.
        const bool requested_by_move =
            !held->second.taken_without_log || entry.fence > held->second.leaving_fence;
        if (held->second.phase == shard_phase::released && held->second.leaving &&
            !entry.previous_owner && requested_by_move) {
            held_.erase(held);
            facts_.erase(shard);
            proof_updates_.erase(shard);
            ledger_.erase_shard(shard);
        }
    }
    restore_shards_owned_elsewhere(now, log);
}

// Shards that this pair held under an earlier leader although the log assigns them elsewhere: given
// to this server without the log, or not released yet.
void server_agent::restore_shards_owned_elsewhere(instant now, const log_state& log)
{
    for (const auto& [shard, entry] : log.shards()) {
        if (entry.owner == server_ || held_.contains(shard)) {
            continue;
        }
        const auto fact = facts_.find(shard);
        const bool given_here = fact != facts_.end() && fact->second.given_to.value.empty() &&
                                fact->second.fence > entry.fence;
        if (given_here) {
            // How long the shard may be served before the move is recorded is not known here, so
            // it is served only once the record has been read. The previous leader may just have
            // renewed the grant, so it has to drain first.
            reset_shard(now, shard, shard_phase::draining, fact->second.fence);
            held_[shard].taken_without_log = true;
        } else if (entry.previous_owner == server_ || pair_took_without_log(shard)) {
            mark_ledger_incomplete(now, shard);
            reset_shard(now, shard, shard_phase::draining, {});
            held_[shard].leaving = true;
            held_[shard].leaving_fence = entry.fence;
            held_[shard].taken_without_log = pair_took_without_log(shard);
        }
    }
}

// Returns whether the pair once took the shard without the log, so that its ledger may be the
// newest.
bool server_agent::pair_took_without_log(const shard_id& shard) const
{
    const auto fact = facts_.find(shard);
    return fact != facts_.end() && fact->second.given_to.value.empty() &&
           fact->second.fence.round > 0;
}

void server_agent::mark_ledger_incomplete(instant now, const shard_id& shard)
{
    if (!ledger_incomplete_until_ || now >= *ledger_incomplete_until_) {
        return;
    }
    auto& fact = facts_[shard];
    if (!fact.ledger_incomplete_until ||
        *fact.ledger_incomplete_until < *ledger_incomplete_until_) {
        fact.ledger_incomplete_until = ledger_incomplete_until_;
        queue_fact(now, shard);
    }
}

void server_agent::reset_shard(instant now, const shard_id& shard, shard_phase phase, fence at)
{
    auto& held = held_[shard];
    held.phase = phase;
    held.fence = at;
    held.phase_since = now;
    held.leaving = false;
    held.taken_without_log = false;
    held.proof_requested_at.reset();
    held.unrecorded_until.reset();
    held.proof_source = {};
    held.not_taken_by = {};
}

void server_agent::acquire_owned(instant now, const shard_id& shard, const shard_entry& entry)
{
    const auto fact = facts_.find(shard);
    const bool given_away = fact != facts_.end() && !fact->second.given_to.value.empty();
    if (given_away && fact->second.fence > entry.fence) {
        return;
    }
    // The shard was given to another server without the log, but the log still assigns it to this
    // one: the proof comes from that server.
    const auto given_without_log_to =
        given_away && fact->second.fence.round > 0 ? fact->second.given_to : server_id{};
    if (given_away) {
        facts_.erase(fact);
    }
    mark_ledger_incomplete(now, shard);
    const auto held = held_.find(shard);
    if (held != held_.end() && !held->second.leaving && given_without_log_to.value.empty()) {
        adopt_recorded_move(now, shard, held->second, entry);
        return;
    }
    if (held != held_.end() && entry.fence <= held->second.fence) {
        return;
    }
    const bool proven = !entry.previous_owner || entry.previous_owner == server_ ||
                        options_.faults.grant_without_proof ||
                        (facts_.contains(shard) && facts_[shard].fence >= entry.fence);
    const bool proof_needed = !proven || !given_without_log_to.value.empty();
    reset_shard(now, shard, proof_needed ? shard_phase::awaiting_proof : shard_phase::granting,
                entry.fence);
    held_[shard].proof_source = given_without_log_to;
}

// A shard that was taken without the log continues under the log's fence if the move was recorded
// in time. Otherwise a new leader of the old owner may serve it, so a proof is required.
void server_agent::adopt_recorded_move(instant now, const shard_id& shard, held_shard& held,
                                       const shard_entry& entry)
{
    if (entry.fence <= held.fence) {
        return;
    }
    held.fence = entry.fence;
    // The proof is known for a shard taken without the log, but not for one moved from elsewhere.
    const bool late = held.unrecorded_until
                          ? now >= *held.unrecorded_until
                          : entry.previous_owner && *entry.previous_owner != server_;
    held.unrecorded_until.reset();
    held.proof_source = {};
    held.not_taken_by = {};
    if (late || held.phase == shard_phase::awaiting_proof) {
        held.phase = shard_phase::awaiting_proof;
        held.proof_requested_at.reset();
        return;
    }
    held.phase = shard_phase::granting;
    held.taken_without_log = false;
    // The log now records the takeover.
    const auto fact = facts_.find(shard);
    if (fact != facts_.end() && fact->second.given_to.value.empty()) {
        fact->second.fence = entry.fence;
        queue_fact(now, shard);
    }
}

void server_agent::start_leaving(instant now, held_shard& held, fence at, effects& out)
{
    refuse_waiting(now, held, out);
    held.leaving = true;
    held.leaving_fence = at;
    if (held.phase == shard_phase::serving || held.phase == shard_phase::granting) {
        held.phase = shard_phase::draining;
        held.phase_since = now;
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
    expire_unrecorded(now);
    for (auto& [shard, held] : held_) {
        switch (held.phase) {
        case shard_phase::awaiting_proof:
            request_proof(now, shard, held, log, out);
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
    propose_settlement(now, log, out);
    record_moves(now, log, out);
    if (lost_since_) {
        fail_over(now, log, out);
    }
    send_given_shards(now, out);
}

// A shard that arrives while the server is lost fails over like those it already had.
void server_agent::advance_granting(instant now, const shard_id& shard, held_shard& held,
                                    effects& out)
{
    if (lost_since_) {
        held.phase = shard_phase::draining;
        held.phase_since = now;
    } else if (!options_.checks_fences) {
        start_serving(now, shard, held, out);
    }
}

void server_agent::request_proof(instant now, const shard_id& shard, held_shard& held,
                                 const log_state& log, effects& out)
{
    if (held.proof_requested_at &&
        now - *held.proof_requested_at < options_.release_retry_interval) {
        return;
    }
    const auto entry = log.shards().find(shard);
    if (entry == log.shards().end() || entry->second.owner != server_) {
        return;
    }
    // The previous leader settled the move meanwhile, so it had the proof.
    if (!entry->second.previous_owner && held.proof_source.value.empty()) {
        held.phase = shard_phase::granting;
        return;
    }
    held.proof_requested_at = now;
    const auto from =
        held.proof_source.value.empty() ? *entry->second.previous_owner : held.proof_source;
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
    if (now - held.phase_since < options_.drain_timeout || lost_since_) {
        return;
    }
    for (const auto& [id, it] : requests_) {
        if (it.stage == request_stage::in_flight && it.meta.shard == shard) {
            out.aborts.push_back(id);
        }
    }
}

void server_agent::revoke(instant now, const shard_id& shard, held_shard& held, effects& out)
{
    if (!options_.checks_fences || process_gone_) {
        held.phase = shard_phase::released;
        held.phase_since = now;
        return;
    }
    held.phase = shard_phase::revoking;
    held.phase_since = now;
    if (!lost_since_ && held.leaving) {
        send_command(now,
                     {.kind = command_kind::revoke,
                      .items = {{.shard = shard, .fence = held.leaving_fence}}},
                     out);
    }
}

// If the server does not confirm the revocation, the expiry of its last grant is the proof.
void server_agent::advance_revoke(instant now, held_shard& held)
{
    const auto grant_expiry = held.phase_since + options_.grant_lease + options_.pair.drift_bound;
    if (process_gone_ || now >= grant_expiry || options_.faults.skip_grant_expiry_wait) {
        held.phase = shard_phase::released;
        held.phase_since = now;
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
