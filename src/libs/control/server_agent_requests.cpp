#include "quincewing/control/server_agent.hpp"

#include "quincewing/base/hash.hpp"
#include "quincewing/base/invariant.hpp"

#include <algorithm>
#include <tuple>

/// server_agent: requests, from admission and the ledger to dispatch and answers.
namespace quincewing {

namespace {

// A run whose outcome is unknown may have ended by then.
constexpr seconds unknown_retry_after{1};
constexpr millis lapsed_retry_after{500};

// All connections of a crashed process break within this time.
constexpr millis crash_report_window{200};

} // namespace

void server_agent::begin(instant now, const request_meta& meta, effects& out)
{
    auto& it = requests_[meta.id];
    it.meta = meta;
    if (!leading_) {
        refuse(now, meta.id, refusal::not_leader, duration{0}, out);
        return;
    }
    if (!may_act(now)) {
        refuse(now, meta.id, refusal::lease_lapsed, lapsed_retry_after, out);
        return;
    }
    const auto quarantine = guard_.quarantine_left(now, meta.fingerprint);
    if (quarantine > duration{0}) {
        refuse(now, meta.id, refusal::quarantined, quarantine, out);
        return;
    }
    begin_on_shard(now, it, out);
}

void server_agent::begin_on_shard(instant now, active_request& it, effects& out)
{
    const auto id = it.meta.id;
    if (it.meta.shard.number == any_shard) {
        if (lost_since_ || retiring_) {
            refuse(now, id, refusal::server_failed, options_.move_estimate, out);
        } else {
            enqueue(now, it, out);
        }
        return;
    }
    const auto held = held_.find(it.meta.shard);
    const bool here = held != held_.end() && held->second.phase != shard_phase::released;
    // A lost server's shards are served again by this server or by their standby server.
    const bool arriving = here && (held->second.phase == shard_phase::awaiting_proof ||
                                   held->second.phase == shard_phase::granting);
    if (here && held->second.phase == shard_phase::serving) {
        if (!answer_from_ledger(now, it, out)) {
            enqueue(now, it, out);
        }
        return;
    }
    const auto wait = expected_wait(now);
    if (arriving && held->second.waiting.size() < options_.max_waiting_per_shard &&
        now + wait < it.meta.deadline) {
        it.stage = request_stage::waiting_shard;
        held->second.waiting.push_back(id);
        return;
    }
    refuse(now, id, refusal::shard_unavailable, wait, out);
}

duration server_agent::expected_wait(instant now) const
{
    if (!lost_since_) {
        return options_.move_estimate;
    }
    const duration failover =
        options_.grant_lease + options_.pair.drift_bound + options_.move_estimate;
    return std::max<duration>(failover - (now - *lost_since_), options_.move_estimate);
}

// Returns whether the request was answered, or waits for the result of another one, and so must
// not be run.
bool server_agent::answer_from_ledger(instant now, active_request& it, effects& out)
{
    if (it.meta.key.empty()) {
        return false;
    }
    const auto& [id, shard, key, fingerprint] =
        std::tie(it.meta.id, it.meta.shard, it.meta.key, it.meta.fingerprint);
    switch (ledger_.lookup(shard, key, fingerprint)) {
    case ledger_lookup::answered:
        out.answers.push_back(
            {.id = id, .verdict = verdict::ran, .response = *ledger_.response(shard, key)});
        forget_request(id);
        return true;
    case ledger_lookup::mismatch:
        refuse(now, id, refusal::key_mismatch, duration{0}, out);
        return true;
    case ledger_lookup::unknown:
        if (options_.faults.rerun_after_unknown) {
            ledger_.record_end(now, shard, key, execution_state::not_executed, {});
            return false;
        }
        refuse(now, id, refusal::earlier_run_unknown, unknown_retry_after, out);
        return true;
    case ledger_lookup::in_progress: {
        const auto run = runs_by_key_.find({shard, key});
        if (run == runs_by_key_.end()) {
            refuse(now, id, refusal::earlier_run_unknown, unknown_retry_after, out);
            return true;
        }
        it.stage = request_stage::joined_run;
        requests_.at(run->second).duplicates.push_back(id);
        return true;
    }
    default:
        break;
    }
    const auto fact = facts_.find(shard);
    if (fact != facts_.end() && fact->second.ledger_incomplete_until &&
        now < *fact->second.ledger_incomplete_until) {
        refuse(now, id, refusal::ledger_lost, *fact->second.ledger_incomplete_until - now, out);
        return true;
    }
    return false;
}

void server_agent::enqueue(instant now, active_request& it, effects& out)
{
    const queued_request queued{.id = it.meta.id,
                                .klass = it.meta.klass,
                                .deadline = it.meta.deadline,
                                .exclusive = guard_.status(now, it.meta.fingerprint) ==
                                             crash_status::suspect};
    if (const auto admitted = queue_.offer(now, queued); !admitted) {
        refuse(now, it.meta.id, refusal::overloaded, admitted.error().retry_after, out);
        return;
    }
    it.stage = request_stage::queued;
    if (!it.meta.key.empty() && !start_run(now, it, out)) {
        return;
    }
    dispatch_queued(now, out);
}

// Records the run in the ledger. The standby must have the entry before the dispatch.
bool server_agent::start_run(instant now, active_request& it, effects& out)
{
    const auto& meta = it.meta;
    if (ledger_.record_start(now, meta.shard, meta.key, meta.fingerprint) !=
        ledger_lookup::new_key) {
        queue_.cancel(meta.id);
        refuse(now, meta.id, refusal::ledger_full, unknown_retry_after, out);
        return false;
    }
    runs_by_key_[{meta.shard, meta.key}] = meta.id;
    queue_ledger_item(ledger_.item(now, meta.shard, meta.key));
    it.required_update = update_number_ + 1;
    return true;
}

void server_agent::dispatch_queued(instant now, effects& out)
{
    if (!leading_ || !may_act(now)) {
        return;
    }
    const auto ready = [this](request_id id) {
        const auto found = requests_.find(id);
        return found == requests_.end() || options_.faults.dispatch_before_replication ||
               found->second.required_update == 0 || replicated(found->second.required_update);
    };
    while (const auto id = queue_.next(now, ready)) {
        const auto found = requests_.find(*id);
        if (found == requests_.end()) {
            queue_.finished(now, *id, completion::failed);
            continue;
        }
        send_to_server(now, found->second, out);
    }
}

void server_agent::send_to_server(instant now, active_request& it, effects& out)
{
    const auto held = held_.find(it.meta.shard);
    const bool any = it.meta.shard.number == any_shard;
    const bool served = held != held_.end() && held->second.phase == shard_phase::serving;
    if (any ? lost_since_.has_value() : !served) {
        queue_.finished(now, it.meta.id, completion::failed);
        refuse(now, it.meta.id, refusal::shard_unavailable, options_.move_estimate, out);
        return;
    }
    check_invariant(may_act(now), "only an acting leader sends requests");
    check_invariant(it.meta.key.empty() || options_.faults.dispatch_before_replication ||
                        replicated(it.required_update),
                    "the standby has a run's ledger entry before it is dispatched");
    it.stage = request_stage::in_flight;
    it.dispatched_at = now;
    dispatch order{.id = it.meta.id, .server = server_};
    if (!any) {
        ++held->second.in_flight;
        order.fence = held->second.fence;
    }
    out.dispatches.push_back(std::move(order));
}

void server_agent::refuse(instant now, request_id id, refusal why, duration retry_after,
                          effects& out)
{
    const bool unknown = why == refusal::ledger_lost || why == refusal::earlier_run_unknown;
    out.answers.push_back({.id = id,
                           .verdict = unknown ? verdict::unknown : verdict::not_run,
                           .why = why,
                           .retry_after = retry_after});
    const auto found = requests_.find(id);
    if (found == requests_.end()) {
        return;
    }
    const auto it = std::move(found->second);
    forget_request(id);
    if (it.required_update == 0) {
        return;
    }
    // The request was never sent to the server, so a repeat may run.
    runs_by_key_.erase({it.meta.shard, it.meta.key});
    queue_ledger_item(
        ledger_.record_end(now, it.meta.shard, it.meta.key, execution_state::not_executed, {}));
    for (const auto duplicate : it.duplicates) {
        refuse(now, duplicate, why, retry_after, out);
    }
}

void server_agent::forget_request(request_id id)
{
    queue_.cancel(id);
    requests_.erase(id);
}

void server_agent::cancel(instant now, request_id id, effects& out)
{
    const auto found = requests_.find(id);
    if (found == requests_.end()) {
        return;
    }
    auto& it = found->second;
    it.caller_gone = true;
    if (it.stage == request_stage::in_flight) {
        // A non-idempotent run goes on, as its result answers a repeat.
        if (it.meta.key.empty()) {
            out.aborts.push_back(id);
        }
        return;
    }
    if (it.duplicates.empty()) {
        refuse(now, id, refusal::deadline, duration{0}, out);
    }
}

void server_agent::finished(instant now, request_id id, const request_result& result, effects& out)
{
    const auto found = requests_.find(id);
    if (found == requests_.end()) {
        return;
    }
    const auto it = std::move(found->second);
    requests_.erase(found);
    const auto how = result.shed                      ? completion::shed
                     : result.verdict == verdict::ran ? completion::ok
                                                      : completion::failed;
    if (result.server_crashed) {
        report_crash(now, it);
    } else if (result.verdict == verdict::ran) {
        guard_.on_answer(now, it.meta.fingerprint);
    }
    if (options_.faults.report_unknown_as_not_run && result.verdict == verdict::unknown) {
        out.answers.push_back({.id = id, .verdict = verdict::not_run});
    }
    queue_.finished(now, id, how);
    end_run(now, it, result, out);
    if (it.abandoned) {
        return;
    }
    if (const auto held = held_.find(it.meta.shard); held != held_.end()) {
        --held->second.in_flight;
    }
    dispatch_queued(now, out);
}

void server_agent::end_run(instant now, const active_request& it, const request_result& result,
                           effects& out)
{
    if (it.meta.key.empty()) {
        return;
    }
    auto state = execution_state::unknown;
    if (result.verdict == verdict::ran) {
        state = execution_state::answered;
    } else if (result.verdict == verdict::not_run) {
        state = execution_state::not_executed;
    }
    auto item = ledger_.record_end(now, it.meta.shard, it.meta.key, state, result.response);
    answer_duplicates(it.duplicates, result, out);
    if (!it.abandoned) {
        runs_by_key_.erase({it.meta.shard, it.meta.key});
        queue_ledger_item(item);
        return;
    }
    // Another host leads now and has the run as started in its ledger.
    if (state != execution_state::unknown) {
        out.send(hooks_.leader_of(server_),
                 late_answer{.server = server_, .item = std::move(item)});
    }
}

void server_agent::answer_duplicates(const std::vector<request_id>& duplicates,
                                     const request_result& result, effects& out)
{
    for (const auto id : duplicates) {
        final_answer answer{.id = id, .verdict = result.verdict};
        if (result.verdict == verdict::ran) {
            answer.response = result.response;
        } else {
            answer.why = refusal::server_failed;
            answer.retry_after = unknown_retry_after;
        }
        out.answers.push_back(std::move(answer));
        requests_.erase(id);
    }
}

void server_agent::on_late_answer(instant now, const late_answer& it, effects& /*out*/)
{
    const auto& item = it.item;
    const auto known = ledger_.lookup(item.shard, item.key, item.fingerprint);
    const bool open = known == ledger_lookup::in_progress || known == ledger_lookup::unknown;
    if (!leading_ || !open || runs_by_key_.contains({item.shard, item.key})) {
        return;
    }
    ledger_.apply(now, item);
    queue_ledger_item(item);
}

void server_agent::refuse_expired(instant now, effects& out)
{
    for (const auto id : queue_.remove_late(now)) {
        refuse(now, id, refusal::deadline, queue_.drain_time(), out);
    }
    std::vector<request_id> late;
    for (auto& [shard, held] : held_) {
        std::erase_if(held.waiting, [&](request_id id) {
            const auto found = requests_.find(id);
            const bool over = found == requests_.end() || now >= found->second.meta.deadline;
            if (over && found != requests_.end()) {
                late.push_back(id);
            }
            return over;
        });
    }
    for (const auto& [id, it] : requests_) {
        if (it.stage == request_stage::joined_run && now >= it.meta.deadline) {
            late.push_back(id);
        }
    }
    for (const auto id : late) {
        const auto found = requests_.find(id);
        if (found != requests_.end() && found->second.stage == request_stage::joined_run) {
            const auto run = runs_by_key_.find({found->second.meta.shard, found->second.meta.key});
            if (run != runs_by_key_.end()) {
                std::erase(requests_.at(run->second).duplicates, id);
            }
            // The run that it waits for may still succeed or fail.
            refuse(now, id, refusal::earlier_run_unknown, unknown_retry_after, out);
            continue;
        }
        refuse(now, id, refusal::deadline, options_.move_estimate, out);
    }
}

// Every request in flight at the crash is suspect. Each of them reports the crash when its
// connection breaks; the first report covers all.
void server_agent::report_crash(instant now, const active_request& reporter)
{
    if (crash_reported_at_ && now - *crash_reported_at_ < crash_report_window) {
        return;
    }
    crash_reported_at_ = now;
    std::vector<const active_request*> in_flight{&reporter};
    for (const auto& [id, it] : requests_) {
        if (it.stage == request_stage::in_flight) {
            in_flight.push_back(&it);
        }
    }
    // A server keeps its id when it starts again, so the time tells its processes apart.
    const auto time = static_cast<std::uint64_t>(now.time_since_epoch().count());
    const server_process process{stable_hash(server_.value, stable_hash(self_.value, time))};
    const bool alone = in_flight.size() == 1;
    for (const auto* it : in_flight) {
        guard_.on_crash(now, it->meta.fingerprint, process, now - it->dispatched_at, alone);
    }
}

const char* to_string(refusal it)
{
    switch (it) {
    case refusal::none:
        return "none";
    case refusal::not_leader:
        return "not_leader";
    case refusal::lease_lapsed:
        return "lease_lapsed";
    case refusal::shard_unavailable:
        return "shard_unavailable";
    case refusal::overloaded:
        return "overloaded";
    case refusal::deadline:
        return "deadline";
    case refusal::ledger_full:
        return "ledger_full";
    case refusal::key_mismatch:
        return "key_mismatch";
    case refusal::ledger_lost:
        return "ledger_lost";
    case refusal::earlier_run_unknown:
        return "earlier_run_unknown";
    case refusal::quarantined:
        return "quarantined";
    case refusal::shutting_down:
        return "shutting_down";
    case refusal::server_failed:
        return "server_failed";
    }
    return "none";
}

} // namespace quincewing
