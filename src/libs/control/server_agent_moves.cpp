#include "quincewing/control/server_agent.hpp"

#include "quincewing/base/hash.hpp"

#include <algorithm>

/// server_agent: moves of shards, by failover with or without the log, proofs of release, and
/// settlement of finished moves.
namespace quincewing {

namespace {

constexpr millis proposal_retry_interval{500};
constexpr std::size_t max_moves_per_record = 256;

} // namespace

void server_agent::fail_over(instant now, const log_state& log, effects& out)
{
    if (!log_reachable_) {
        give_without_log(now, log);
        return;
    }
    if (moves_proposed_at_ && now - *moves_proposed_at_ < proposal_retry_interval) {
        return;
    }
    shard_moves record{.from = server_};
    for (const auto& [shard, held] : held_) {
        const auto entry = log.shards().find(shard);
        if (held.phase != shard_phase::released || entry == log.shards().end() ||
            entry->second.owner != server_ || entry->second.previous_owner) {
            continue;
        }
        const auto& standby = entry->second.standby;
        const auto to =
            hooks_.server_usable(standby) ? standby : choose_standby(log, shard, standby);
        if (to == server_ || record.moves.size() >= max_moves_per_record) {
            continue;
        }
        record.moves.push_back({.shard = shard,
                                .expected_fence = entry->second.fence,
                                .to = to,
                                .standby = choose_standby(log, shard, to)});
    }
    if (!record.moves.empty()) {
        moves_proposed_at_ = now;
        out.appends.emplace_back(std::move(record));
    }
}

// Without the log, a shard can only go to the standby server that the log already names.
void server_agent::give_without_log(instant now, const log_state& log)
{
    for (const auto& [shard, held] : held_) {
        const auto entry = log.shards().find(shard);
        if (held.phase != shard_phase::released || entry == log.shards().end() ||
            entry->second.owner != server_ || entry->second.standby == server_) {
            continue;
        }
        auto& fact = facts_[shard];
        if (!fact.given_to.value.empty()) {
            continue;
        }
        fact.fence = {.offset = entry->second.fence.offset,
                      .round = std::max(held.fence.round, entry->second.fence.round) + 1};
        fact.given_to = entry->second.standby;
        proof_updates_[shard] = update_number_ + 1;
        queue_fact(now, shard);
    }
}

void server_agent::send_given_shards(instant now, effects& out)
{
    if (given_sent_at_ && now - *given_sent_at_ < options_.release_retry_interval) {
        return;
    }
    for (const auto& [shard, fact] : facts_) {
        const auto taken = acknowledged_given_.find(shard);
        const bool acknowledged = taken != acknowledged_given_.end() && taken->second == fact.fence;
        const bool through_log = fact.fence.round == 0;
        if (fact.given_to.value.empty() || through_log || acknowledged ||
            !replicated(proof_updates_[shard])) {
            continue;
        }
        given_sent_at_ = now;
        auto release = make_release(now, fact.given_to, shard, fact.fence);
        release.alone = true;
        release.term = pair_.view().term;
        out.send(hooks_.leader_of(fact.given_to), std::move(release));
    }
}

bool server_agent::taken_but_unrecorded(const shard_id& shard, const shard_entry& entry) const
{
    const auto fact = facts_.find(shard);
    return fact != facts_.end() && fact->second.given_to.value.empty() && entry.owner != server_ &&
           fact->second.fence.offset == entry.fence.offset &&
           fact->second.fence.round > entry.fence.round;
}

// Stops serving a shard whose takeover is still unrecorded when another host may have claimed the
// old owner's pair.
void server_agent::expire_unrecorded(instant now)
{
    for (auto& [shard, held] : held_) {
        if (held.unrecorded_until && now >= *held.unrecorded_until &&
            (held.phase == shard_phase::serving || held.phase == shard_phase::granting)) {
            held.phase = shard_phase::draining;
            held.phase_since = now;
        }
    }
}

// Records moves that were made without the log once the log is reachable again. Either side may do
// so, as one may have lost its state.
void server_agent::record_moves(instant now, const log_state& log, effects& out)
{
    if (!log_reachable_ ||
        (moves_proposed_at_ && now - *moves_proposed_at_ < proposal_retry_interval)) {
        return;
    }
    shard_moves record{.from = server_};
    for (const auto& [shard, fact] : facts_) {
        const auto entry = log.shards().find(shard);
        if (entry == log.shards().end() || record.moves.size() >= max_moves_per_record) {
            continue;
        }
        const bool given = !fact.given_to.value.empty() && entry->second.owner == server_;
        if (!given && !taken_but_unrecorded(shard, entry->second)) {
            continue;
        }
        const auto& to = given ? fact.given_to : server_;
        record.round = fact.fence.round;
        record.moves.push_back({.shard = shard,
                                .expected_fence = entry->second.fence,
                                .to = to,
                                .standby = choose_standby(log, shard, to)});
    }
    if (!record.moves.empty()) {
        moves_proposed_at_ = now;
        out.appends.emplace_back(std::move(record));
    }
}

shard_release server_agent::make_release(instant now, const server_id& to, const shard_id& shard,
                                         fence at) const
{
    shard_release out{.from = server_, .to = to, .shard = shard, .fence = at};
    if (!options_.faults.release_without_ledger) {
        out.items = ledger_.items_for_shard(now, shard);
    }
    const auto fact = facts_.find(shard);
    if (fact != facts_.end()) {
        out.blind_left = to_fact(now, shard).blind_left;
    }
    return out;
}

void server_agent::on_release_request(instant now, const host_id& from, const release_request& it,
                                      const log_state& log, effects& out)
{
    const auto entry = log.shards().find(it.shard);
    if (!leading_ || !may_act(now) || entry == log.shards().end() ||
        entry->second.fence != it.fence || entry->second.owner != it.to) {
        return;
    }
    if (reconciled_version_ != log.shards_version()) {
        reconcile(now, log, out);
    }
    const auto fact = facts_.find(it.shard);
    const bool given = fact != facts_.end() && !fact->second.given_to.value.empty();
    if (given && fact->second.given_to == it.not_taken_by) {
        reclaim_shard(now, it.shard, it.fence);
        return;
    }
    if (given && fact->second.given_to != it.to) {
        auto reply = make_release(now, it.to, it.shard, it.fence);
        reply.items.clear();
        reply.ask_instead = fact->second.given_to;
        out.send(from, std::move(reply));
        return;
    }
    const auto held = held_.find(it.shard);
    // The shard was taken without the log from the requesting server, whose pair has since lost its
    // record of that, and it is no longer served here.
    const bool stopped = held != held_.end() && (held->second.phase == shard_phase::released ||
                                                 held->second.phase == shard_phase::draining ||
                                                 held->second.phase == shard_phase::revoking);
    if (stopped && !held->second.leaving && held->second.fence > it.fence) {
        start_leaving(now, held->second, it.fence, out);
    }
    if (given || (held != held_.end() && held->second.phase == shard_phase::released)) {
        give_proof(now, from, it, out);
    } else if (held == held_.end() && entry->second.previous_owner != server_) {
        confirm_not_taken(now, from, it, out);
    }
}

// The standby may lag behind in the log, so it must know that the shard was given away before
// another server may serve it.
void server_agent::give_proof(instant now, const host_id& to, const release_request& it,
                              effects& out)
{
    auto& fact = facts_[it.shard];
    if (fact.given_to.value.empty()) {
        fact.given_to = it.to;
        fact.fence = it.fence;
        proof_updates_[it.shard] = update_number_ + 1;
        queue_fact(now, it.shard);
    }
    if (replicated(proof_updates_[it.shard])) {
        out.send(to, make_release(now, it.to, it.shard, it.fence));
    }
}

// The shard was given to this server without the log, but never arrived. Both hosts of the pair
// record that it must not be taken any more before the requester is told so.
void server_agent::confirm_not_taken(instant now, const host_id& from, const release_request& it,
                                     effects& out)
{
    auto reply = make_release(now, it.to, it.shard, it.fence);
    if (ledger_incomplete_until_ && now < *ledger_incomplete_until_) {
        // The previous pair may have taken and served the shard, and its ledger is lost.
        reply.blind_left = static_cast<std::uint64_t>(options_.ledger.window.count());
        out.send(from, std::move(reply));
        return;
    }
    auto& fact = facts_[it.shard];
    if (fact.fence < it.fence) {
        fact = {.fence = it.fence};
        proof_updates_[it.shard] = update_number_ + 1;
        queue_fact(now, it.shard);
    }
    if (replicated(proof_updates_[it.shard])) {
        reply.not_taken = true;
        out.send(from, std::move(reply));
    }
}

void server_agent::reclaim_shard(instant now, const shard_id& shard, fence at)
{
    facts_[shard].given_to = {};
    proof_updates_[shard] = update_number_ + 1;
    queue_fact(now, shard);
    if (!held_.contains(shard)) {
        reset_shard(now, shard, shard_phase::draining, {});
        held_[shard].leaving = true;
        held_[shard].leaving_fence = at;
    }
}

void server_agent::on_release(instant now, const host_id& from, const shard_release& it,
                              const log_state& log, effects& out)
{
    if (!leading_ || it.to != server_) {
        return;
    }
    if (it.alone) {
        take_without_log(now, from, it, log, out);
        return;
    }
    const auto held = held_.find(it.shard);
    if (held == held_.end() || held->second.phase != shard_phase::awaiting_proof ||
        held->second.fence != it.fence) {
        return;
    }
    if (it.not_taken) {
        held->second.proof_source = {};
        held->second.not_taken_by = it.from;
        held->second.proof_requested_at.reset();
        return;
    }
    if (!it.ask_instead.value.empty()) {
        held->second.proof_source = it.ask_instead;
        held->second.proof_requested_at.reset();
        return;
    }
    accept_proof(now, it, out);
}

void server_agent::accept_proof(instant now, const shard_release& it, effects& out)
{
    for (const auto& item : it.items) {
        ledger_.apply(now, item);
        queue_ledger_item(item);
    }
    auto& fact = facts_[it.shard];
    fact.fence = it.fence;
    fact.given_to = {};
    if (it.blind_left > 0) {
        const auto until = now + std::chrono::microseconds{it.blind_left};
        fact.ledger_incomplete_until =
            std::max(fact.ledger_incomplete_until.value_or(until), until);
    }
    queue_fact(now, it.shard);
    proof_updates_[it.shard] = update_number_ + 1;
    auto waiting = std::move(held_[it.shard].waiting);
    reset_shard(now, it.shard, shard_phase::granting, it.fence);
    held_[it.shard].waiting = std::move(waiting);
    next_renewal_ = now;
    out.add_change("shard_taken", to_string(it.shard),
                   "from " + it.from.value + " by " + server_.value);
}

void server_agent::take_without_log(instant now, const host_id& from, const shard_release& it,
                                    const log_state& log, effects& out)
{
    const auto entry = log.shards().find(it.shard);
    if (entry == log.shards().end() || entry->second.standby != server_ ||
        entry->second.fence.offset != it.fence.offset ||
        entry->second.fence.round >= it.fence.round) {
        return;
    }
    const auto fact = facts_.find(it.shard);
    if (fact != facts_.end() && fact->second.fence > it.fence) {
        return;
    }
    // Our last read of the log shows no claim of the old owner's pair by another host. Such a claim
    // made later takes effect only when the isolation hold has passed since that read.
    const auto pair = log.pairs().find(it.from);
    const duration margin =
        options_.checks_fences ? options_.grant_lease : options_.max_request_time;
    const auto until = fresh_as_of_ + options_.pair.isolation_hold - margin;
    if (pair == log.pairs().end() || pair->second.term > it.term || now >= until) {
        return;
    }
    const auto held = held_.find(it.shard);
    const bool already_taken = held != held_.end() && held->second.fence >= it.fence;
    if (!already_taken) {
        accept_proof(now, it, out);
        held_[it.shard].unrecorded_until = until;
        held_[it.shard].taken_without_log = true;
    } else if (replicated(proof_updates_[it.shard])) {
        out.send(from, release_taken{.from = it.from, .shard = it.shard, .fence = it.fence});
    }
}

void server_agent::on_release_taken(instant /*now*/, const release_taken& it, effects& /*out*/)
{
    acknowledged_given_[it.shard] = it.fence;
}

// Returns whether the proof of release is known on both hosts. This includes a shard that was given
// away again without the log, as the log would reject the record of that move otherwise.
bool server_agent::has_replicated_proof(const shard_id& shard, const shard_entry& entry) const
{
    const auto held = held_.find(shard);
    const auto fact = facts_.find(shard);
    const auto update = proof_updates_.find(shard);
    const bool taken = held != held_.end() && held->second.phase != shard_phase::awaiting_proof;
    const bool known = fact != facts_.end() && fact->second.fence >= entry.fence;
    return (taken || known) && (update == proof_updates_.end() || replicated(update->second));
}

// Records in the log that both hosts have the proofs, so that the next owner need not request them
// from the owner before this one.
void server_agent::propose_settlement(instant now, const log_state& log, effects& out)
{
    if (!log_reachable_ ||
        (settlement_proposed_at_ && now - *settlement_proposed_at_ < proposal_retry_interval)) {
        return;
    }
    moves_completed record;
    for (const auto& [shard, entry] : log.shards()) {
        if (entry.owner == server_ && entry.previous_owner && has_replicated_proof(shard, entry)) {
            record.items.push_back({.shard = shard, .fence = entry.fence});
        }
    }
    if (!record.items.empty()) {
        settlement_proposed_at_ = now;
        out.appends.emplace_back(std::move(record));
    }
}

server_id server_agent::choose_standby(const log_state& log, const shard_id& shard,
                                       const server_id& owner) const
{
    const auto own = log.servers().find(owner);
    server_id best = owner;
    std::pair<int, std::uint64_t> best_rank{2, 0};
    for (const auto& [id, server] : log.servers()) {
        if (server.service != shard.service || server.retiring || id == owner || id == server_ ||
            !hooks_.server_usable(id)) {
            continue;
        }
        const bool local =
            own != log.servers().end() && server.data_centre == own->second.data_centre;
        const std::pair rank{local ? 0 : 1, stable_hash(id.value, stable_hash(to_string(shard)))};
        if (rank < best_rank) {
            best = id;
            best_rank = rank;
        }
    }
    return best;
}

} // namespace quincewing
