#include "quincewing/control/server_agent.hpp"

#include "quincewing/base/hash.hpp"
#include "quincewing/base/invariant.hpp"

#include <algorithm>

/// The agent's shards: proofs, grants, drains, and the failover of a lost server.
namespace quincewing {

namespace {

constexpr millis propose_again_every{500};
constexpr std::size_t moves_in_a_record = 256;

} // namespace

void server_agent::reconcile(instant now, const log_state& log, effects& out)
{
    reconciled_version_ = log.shards_version();
    for (const auto& [shard, entry] : log.shards()) {
        const auto fact = facts_.find(shard);
        const bool passed = fact != facts_.end() && entry.fence > fact->second.fence &&
                            entry.owner != server_ && entry.previous != server_;
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
            lose_owned(now, held->second, out);
        }
        if (held->second.phase == shard_phase::released && entry.previous != server_) {
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
            hold(now, shard, shard_phase::granting, fact->second.fence);
        } else if (entry.previous == server_) {
            hold(now, shard, shard_phase::draining, {});
        }
    }
}

void server_agent::hold(instant now, const shard_id& shard, shard_phase phase, fence at)
{
    auto& held = held_[shard];
    held.phase = phase;
    held.fence = at;
    held.since = now;
    held.asked_at.reset();
    held.ask = {};
}

void server_agent::take_owned(instant now, const shard_id& shard, const shard_entry& entry)
{
    const auto fact = facts_.find(shard);
    const bool given_away = fact != facts_.end() && !fact->second.given_to.value.empty();
    if (given_away && fact->second.fence > entry.fence) {
        return;
    }
    if (given_away) {
        facts_.erase(fact);
    }
    if (blind_ && !facts_.contains(shard)) {
        facts_[shard] = {.blind_until = now + options_.ledger.window};
        queue_fact(now, shard);
    }
    const auto held = held_.find(shard);
    const bool current = held != held_.end() && held->second.phase != shard_phase::released;
    if (current) {
        if (entry.fence > held->second.fence && held->second.phase != shard_phase::awaiting_proof) {
            held->second.fence = entry.fence;
            held->second.phase = shard_phase::granting;
        }
        return;
    }
    if (held != held_.end() && entry.fence <= held->second.fence) {
        return;
    }
    const bool proven = !entry.previous || entry.previous == server_ ||
                        options_.faults.grant_without_proof ||
                        (facts_.contains(shard) && facts_[shard].fence >= entry.fence);
    hold(now, shard, proven ? shard_phase::granting : shard_phase::awaiting_proof, entry.fence);
}

void server_agent::lose_owned(instant now, held_shard& held, effects& out)
{
    refuse_waiting(now, held, out);
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
    for (auto& [shard, held] : held_) {
        switch (held.phase) {
        case shard_phase::awaiting_proof:
            ask_for_proof(now, shard, held, log, out);
            break;
        case shard_phase::granting:
            if (!options_.checks_fences && !lost_since_) {
                start_serving(now, shard, held, out);
            }
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

void server_agent::ask_for_proof(instant now, const shard_id& shard, held_shard& held,
                                 const log_state& log, effects& out)
{
    if (held.asked_at && now - *held.asked_at < options_.ask_again_every) {
        return;
    }
    const auto entry = log.shards().find(shard);
    if (entry == log.shards().end()) {
        return;
    }
    // Settled meanwhile by the leader before us: the proof was in hand then.
    if (!entry->second.previous) {
        held.phase = shard_phase::granting;
        return;
    }
    held.asked_at = now;
    const auto from = held.ask.value.empty() ? *entry->second.previous : held.ask;
    out.send(hooks_.leader_of(from),
             release_request{.from = from, .to = server_, .shard = shard, .fence = held.fence});
}

bool server_agent::in_flight_ended(instant now, const held_shard& held) const
{
    if (options_.checks_fences) {
        return held.in_flight == 0 || lost_since_.has_value();
    }
    const bool inherited = inherited_until_ && now < *inherited_until_ && !process_gone_;
    return held.in_flight == 0 && !inherited;
}

void server_agent::advance_drain(instant now, const shard_id& shard, held_shard& held,
                                 effects& out)
{
    if (in_flight_ended(now, held)) {
        revoke(now, shard, held, out);
        return;
    }
    if (now - held.since < options_.drain_bound || lost_since_) {
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
    if (!lost_since_) {
        command(now,
                {.kind = command_kind::revoke, .items = {{.shard = shard, .fence = held.fence}}},
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
    next_renewal_ = now + options_.renew_every;
    std::vector<server_command::item> items;
    for (const auto& [shard, held] : held_) {
        const bool granted = held.phase == shard_phase::serving ||
                             held.phase == shard_phase::granting ||
                             held.phase == shard_phase::draining;
        // A drain that was inherited is not ours to renew: its fence is unknown here.
        if (granted && held.fence.offset > 0 && !lost_since_ && options_.checks_fences) {
            items.push_back({.shard = shard, .fence = held.fence});
        }
    }
    grant_items(now, std::move(items), out);
}

void server_agent::grant_items(instant now, std::vector<server_command::item> items,
                               effects& out)
{
    // Answers that did not come within the lease are lost.
    std::erase_if(commands_, [&](const auto& it) {
        return now - it.second.sent > options_.grant_lease + options_.server_patience;
    });
    if (!items.empty()) {
        last_grant_sent_ = now;
    }
    command(now, {.kind = command_kind::grant, .items = std::move(items)}, out);
}

void server_agent::start_serving(instant now, const shard_id& shard, held_shard& held,
                                 effects& out)
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

void server_agent::on_command_result(instant now, std::uint64_t number, command_result result,
                                     effects& out)
{
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
    on_server_answer(now, out);
    for (const auto& item : sent.items) {
        const auto held = held_.find(item.shard);
        if (held == held_.end() || held->second.fence != item.fence || !acting_) {
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

void server_agent::on_server_answer(instant now, effects& out)
{
    silent_since_.reset();
    process_gone_ = false;
    if (!lost_since_) {
        return;
    }
    lost_since_.reset();
    queue_.cool_down();
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
            entry->second.owner != server_ || entry->second.previous) {
            continue;
        }
        const auto& named = entry->second.standby;
        const auto to = hooks_.server_usable(named) ? named : choose_standby(log, shard, named);
        if (to == server_ || record.moves.size() >= moves_in_a_record) {
            continue;
        }
        record.moves.push_back({.shard = shard,
                                .expected = entry->second.fence,
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
        if (fact.given_to.value.empty() || done || !copied(proof_updates_[shard])) {
            continue;
        }
        alone_sent_ = now;
        auto release = make_release(now, fact.given_to, shard, fact.fence);
        release.alone = true;
        out.send(hooks_.leader_of(fact.given_to), std::move(release));
    }
}

// Moves made alone are told to the log when it is back.
void server_agent::record_given(instant now, const log_state& log, effects& out)
{
    if (!log_reachable_ || (moves_proposed_ && now - *moves_proposed_ < propose_again_every)) {
        return;
    }
    shard_moves record{.from = server_};
    for (const auto& [shard, fact] : facts_) {
        const auto entry = log.shards().find(shard);
        if (fact.given_to.value.empty() || entry == log.shards().end() ||
            entry->second.owner != server_ || record.moves.size() >= moves_in_a_record) {
            continue;
        }
        record.round = fact.fence.round;
        record.moves.push_back({.shard = shard,
                                .expected = entry->second.fence,
                                .to = fact.given_to,
                                .standby = choose_standby(log, shard, fact.given_to)});
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
        out.items = ledger_.items_of(now, shard);
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
    if (given && fact->second.given_to != it.to) {
        auto reply = make_release(now, it.to, it.shard, it.fence);
        reply.items.clear();
        reply.ask_instead = fact->second.given_to;
        out.send(from, std::move(reply));
        return;
    }
    const auto held = held_.find(it.shard);
    if (given || (held != held_.end() && held->second.phase == shard_phase::released)) {
        out.send(from, make_release(now, it.to, it.shard, it.fence));
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
        ledger_.put(now, item);
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
    const auto held = held_.find(it.shard);
    const bool known = held != held_.end() && held->second.fence >= it.fence;
    if (!known) {
        take_proof(now, it, out);
    } else if (copied(proof_updates_[it.shard])) {
        out.send(from, release_taken{.from = it.from, .shard = it.shard, .fence = it.fence});
    }
}

void server_agent::on_release_taken(instant /*now*/, const release_taken& it, effects& /*out*/)
{
    given_taken_[it.shard] = it.fence;
}

// Tells the log that the proofs are in hand on both hosts, so that the next owner need not ask
// the one before the last.
void server_agent::settle(instant now, const log_state& log, effects& out)
{
    if (!log_reachable_ || (settled_proposed_ && now - *settled_proposed_ < propose_again_every)) {
        return;
    }
    moves_settled record;
    for (const auto& [shard, held] : held_) {
        const auto entry = log.shards().find(shard);
        const bool here = held.phase == shard_phase::serving || held.phase == shard_phase::granting;
        if (!here || entry == log.shards().end() || entry->second.owner != server_ ||
            !entry->second.previous || !copied(proof_updates_[shard])) {
            continue;
        }
        record.items.push_back({.shard = shard, .fence = entry->second.fence});
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
        if (server.service != shard.service || server.retiring || id == owner ||
            id == server_ || !hooks_.server_usable(id)) {
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
