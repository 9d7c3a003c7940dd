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
        const bool given_here = fact != facts_.end() && !fact->second.given_to.value.empty();
        const bool older = fact != facts_.end() && entry.fence > fact->second.fence;
        const bool passed = (older || (given_here && entry.fence == fact->second.fence)) &&
                            entry.owner != server_ && !entry.previous && !taken_alone(shard);
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
            !entry.previous && asked_by_move) {
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
        } else if (entry.previous == server_ || taken_alone(shard)) {
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
    const bool proven = !entry.previous || entry.previous == server_ ||
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
    const bool late =
        held.alone_until ? now >= *held.alone_until : entry.previous && *entry.previous != server_;
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
    if (!entry->second.previous && held.ask.value.empty()) {
        held.phase = shard_phase::granting;
        return;
    }
    held.asked_at = now;
    const auto from = held.ask.value.empty() ? *entry->second.previous : held.ask;
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
    next_renewal_ = now + options_.renew_every;
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
                                .expected = entry->second.fence,
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
    } else if (held == held_.end() && entry->second.previous != server_) {
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
    moves_settled record;
    for (const auto& [shard, entry] : log.shards()) {
        if (entry.owner == server_ && entry.previous && proof_in_hand(shard, entry)) {
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
