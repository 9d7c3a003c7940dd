#include "quincewing/control/server_agent.hpp"

#include "quincewing/base/hash.hpp"

#include <algorithm>

/// How shards leave and come: failover with and without the log, proofs of release, settlements.
namespace quincewing {

namespace {

constexpr millis propose_again_every{500};
constexpr std::size_t moves_in_a_record = 256;

} // namespace

void server_agent::fail_over(instant now, const log_state& log, effects& out)
{
    if (!log_reachable_) {
        give_alone(now, log);
        return;
    }
    if (moves_proposed_ && now - *moves_proposed_ < propose_again_every) {
        return;
    }
    shard_moves record{.from = server_};
    for (const auto& [shard, held] : held_) {
        const auto entry = log.shards().find(shard);
        if (held.phase != shard_phase::released || entry == log.shards().end() ||
            entry->second.owner != server_ || entry->second.previous_owner) {
            continue;
        }
        const auto& named = entry->second.standby;
        const auto to = hooks_.server_usable(named) ? named : choose_standby(log, shard, named);
        if (to == server_ || record.moves.size() >= moves_in_a_record) {
            continue;
        }
        record.moves.push_back({.shard = shard,
                                .expected_fence = entry->second.fence,
                                .to = to,
                                .standby = choose_standby(log, shard, to)});
    }
    if (!record.moves.empty()) {
        moves_proposed_ = now;
        out.appends.emplace_back(std::move(record));
    }
}

// Without the log, a shard goes to the standby server that the log already names.
void server_agent::give_alone(instant now, const log_state& log)
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

void server_agent::send_given(instant now, effects& out)
{
    if (alone_sent_ && now - *alone_sent_ < options_.ask_again_every) {
        return;
    }
    for (const auto& [shard, fact] : facts_) {
        const auto taken = given_taken_.find(shard);
        const bool done = taken != given_taken_.end() && taken->second == fact.fence;
        const bool through_log = fact.fence.round == 0;
        if (fact.given_to.value.empty() || through_log || done || !copied(proof_updates_[shard])) {
            continue;
        }
        alone_sent_ = now;
        auto release = make_release(now, fact.given_to, shard, fact.fence);
        release.alone = true;
        release.term = pair_.view().term;
        out.send(hooks_.leader_of(fact.given_to), std::move(release));
    }
}

bool server_agent::held_alone(const shard_id& shard, const shard_entry& entry) const
{
    const auto fact = facts_.find(shard);
    return fact != facts_.end() && fact->second.given_to.value.empty() && entry.owner != server_ &&
           fact->second.fence.offset == entry.fence.offset &&
           fact->second.fence.round > entry.fence.round;
}

// The time in which the old owner's pair cannot have been claimed by a third party is over.
void server_agent::end_alone(instant now)
{
    for (auto& [shard, held] : held_) {
        if (held.alone_until && now >= *held.alone_until &&
            (held.phase == shard_phase::serving || held.phase == shard_phase::granting)) {
            held.phase = shard_phase::draining;
            held.since = now;
        }
    }
}

// Moves made alone are told to the log when it is back, by whichever side still knows of them.
void server_agent::record_given(instant now, const log_state& log, effects& out)
{
    if (!log_reachable_ || (moves_proposed_ && now - *moves_proposed_ < propose_again_every)) {
        return;
    }
    shard_moves record{.from = server_};
    for (const auto& [shard, fact] : facts_) {
        const auto entry = log.shards().find(shard);
        if (entry == log.shards().end() || record.moves.size() >= moves_in_a_record) {
            continue;
        }
        const bool given = !fact.given_to.value.empty() && entry->second.owner == server_;
        if (!given && !held_alone(shard, entry->second)) {
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
        moves_proposed_ = now;
        out.appends.emplace_back(std::move(record));
    }
}

shard_release server_agent::make_release(instant now, const server_id& to, const shard_id& shard,
                                         fence at) const
{
    shard_release out{.from = server_, .to = to, .shard = shard, .fence = at};
    if (!options_.faults.ledger_stays_behind) {
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
        take_back(now, it.shard, it.fence);
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
    // Taken alone from the asker, whose pair was lost since with the memory of it, and not served
    // here any more.
    const bool stopped = held != held_.end() && (held->second.phase == shard_phase::released ||
                                                 held->second.phase == shard_phase::draining ||
                                                 held->second.phase == shard_phase::revoking);
    if (stopped && !held->second.leaving && held->second.fence > it.fence) {
        lose_owned(now, held->second, it.fence, out);
    }
    if (given || (held != held_.end() && held->second.phase == shard_phase::released)) {
        give(now, from, it, out);
    } else if (held == held_.end() && entry->second.previous_owner != server_) {
        deny_taken(now, from, it, out);
    }
}

// The standby may be behind in the log, so it has to know that the shard is given away before
// anybody else may serve it.
void server_agent::give(instant now, const host_id& to, const release_request& it, effects& out)
{
    auto& fact = facts_[it.shard];
    if (fact.given_to.value.empty()) {
        fact.given_to = it.to;
        fact.fence = it.fence;
        proof_updates_[it.shard] = update_number_ + 1;
        queue_fact(now, it.shard);
    }
    if (copied(proof_updates_[it.shard])) {
        out.send(to, make_release(now, it.to, it.shard, it.fence));
    }
}

// The shard was given to this server without the log, but never arrived. That it never will is
// noted on both hosts before it is said.
void server_agent::deny_taken(instant now, const host_id& from, const release_request& it,
                              effects& out)
{
    auto reply = make_release(now, it.to, it.shard, it.fence);
    if (blind_until_ && now < *blind_until_) {
        // It may have been taken and served by the pair before, whose ledger is lost.
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
    if (copied(proof_updates_[it.shard])) {
        reply.not_taken = true;
        out.send(from, std::move(reply));
    }
}

void server_agent::take_back(instant now, const shard_id& shard, fence at)
{
    facts_[shard].given_to = {};
    proof_updates_[shard] = update_number_ + 1;
    queue_fact(now, shard);
    if (!held_.contains(shard)) {
        hold(now, shard, shard_phase::draining, {});
        held_[shard].leaving = true;
        held_[shard].left_at = at;
    }
}

void server_agent::on_release(instant now, const host_id& from, const shard_release& it,
                              const log_state& log, effects& out)
{
    if (!leading_ || it.to != server_) {
        return;
    }
    if (it.alone) {
        take_alone(now, from, it, log, out);
        return;
    }
    const auto held = held_.find(it.shard);
    if (held == held_.end() || held->second.phase != shard_phase::awaiting_proof ||
        held->second.fence != it.fence) {
        return;
    }
    if (it.not_taken) {
        held->second.ask = {};
        held->second.not_taken_by = it.from;
        held->second.asked_at.reset();
        return;
    }
    if (!it.ask_instead.value.empty()) {
        held->second.ask = it.ask_instead;
        held->second.asked_at.reset();
        return;
    }
    take_proof(now, it, out);
}

void server_agent::take_proof(instant now, const shard_release& it, effects& out)
{
    for (const auto& item : it.items) {
        ledger_.apply(now, item);
        queue_update(item);
    }
    auto& fact = facts_[it.shard];
    fact.fence = it.fence;
    fact.given_to = {};
    if (it.blind_left > 0) {
        const auto until = now + std::chrono::microseconds{it.blind_left};
        fact.blind_until = std::max(fact.blind_until.value_or(until), until);
    }
    queue_fact(now, it.shard);
    proof_updates_[it.shard] = update_number_ + 1;
    auto waiting = std::move(held_[it.shard].waiting);
    hold(now, it.shard, shard_phase::granting, it.fence);
    held_[it.shard].waiting = std::move(waiting);
    next_renewal_ = now;
    out.note("shard_taken", to_string(it.shard), "from " + it.from.value + " by " + server_.value);
}

void server_agent::take_alone(instant now, const host_id& from, const shard_release& it,
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
    // Nobody else claims the old owner's pair and acts until our own last read of the log, which
    // shows no such claim, is older than the hold.
    const auto pair = log.pairs().find(it.from);
    const duration margin =
        options_.checks_fences ? options_.grant_lease : options_.max_request_time;
    const auto until = fresh_as_of_ + options_.pair.isolation_hold - margin;
    if (pair == log.pairs().end() || pair->second.term > it.term || now >= until) {
        return;
    }
    const auto held = held_.find(it.shard);
    const bool known = held != held_.end() && held->second.fence >= it.fence;
    if (!known) {
        take_proof(now, it, out);
        held_[it.shard].alone_until = until;
        held_[it.shard].was_alone = true;
    } else if (copied(proof_updates_[it.shard])) {
        out.send(from, release_taken{.from = it.from, .shard = it.shard, .fence = it.fence});
    }
}

void server_agent::on_release_taken(instant /*now*/, const release_taken& it, effects& /*out*/)
{
    given_taken_[it.shard] = it.fence;
}

// Also when the shard was given on alone since: the log would void the record of that otherwise.
bool server_agent::proof_in_hand(const shard_id& shard, const shard_entry& entry) const
{
    const auto held = held_.find(shard);
    const auto fact = facts_.find(shard);
    const auto update = proof_updates_.find(shard);
    const bool taken = held != held_.end() && held->second.phase != shard_phase::awaiting_proof;
    const bool known = fact != facts_.end() && fact->second.fence >= entry.fence;
    return (taken || known) && (update == proof_updates_.end() || copied(update->second));
}

// Tells the log that the proofs are in hand on both hosts, so that the next owner need not ask
// the one before the last.
void server_agent::settle(instant now, const log_state& log, effects& out)
{
    if (!log_reachable_ || (settled_proposed_ && now - *settled_proposed_ < propose_again_every)) {
        return;
    }
    moves_completed record;
    for (const auto& [shard, entry] : log.shards()) {
        if (entry.owner == server_ && entry.previous_owner && proof_in_hand(shard, entry)) {
            record.items.push_back({.shard = shard, .fence = entry.fence});
        }
    }
    if (!record.items.empty()) {
        settled_proposed_ = now;
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
