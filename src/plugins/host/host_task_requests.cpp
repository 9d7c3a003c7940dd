#include "quincewing/host/host_task.hpp"

#include <algorithm>
#include <event2/buffer.h>

/// The way of one request through this host.
namespace quincewing {

namespace {

// A request that truly did not run is routed again, at most this often and for this long.
constexpr int most_attempts = 12;
constexpr seconds route_again_within{4};
constexpr millis first_pause{5};
constexpr millis longest_pause{200};
constexpr millis no_route_retry_after{1000};
// Without this much left before the deadline another try is not worth it.
constexpr millis least_time_left{50};

bool may_be_elsewhere(refusal why)
{
    return why == refusal::not_leader || why == refusal::lease_lapsed ||
           why == refusal::shard_unavailable || why == refusal::server_failed ||
           why == refusal::shutting_down;
}

// With an idempotency key the ledger tells whether it ran.
bool may_run_again(const exchange& it)
{
    return it.request.idempotent || !it.request.idempotency_key.empty();
}

} // namespace

void host_task::handle(const exchange_ptr& it)
{
    it->started_at = monotonic_now();
    open_[it->id] = it;
    watch_answer(it);
    if (!may_begin(*it, it->started_at)) {
        refuse_stopping(it);
        return;
    }
    if (it->from_peer) {
        serve_here(it);
        work_timer_.soon();
        return;
    }
    route(it);
}

// Keeps what the caller was told, for counters and explanations, and steps in before an answer
// that another try may better.
void host_task::watch_answer(const exchange_ptr& it)
{
    auto on_head = std::move(it->on_head);
    auto on_body = std::move(it->on_body);
    auto on_end = std::move(it->on_end);
    const std::weak_ptr<exchange> weak = it;
    const auto withheld = std::make_shared<bool>(false);
    it->on_head = [this, weak, withheld, on_head](const response_head& head) {
        const auto self = weak.lock();
        if (!self || self->ended) {
            return;
        }
        *withheld = try_again(self, head);
        if (*withheld) {
            return;
        }
        self->head_sent = true;
        self->sent_verdict = head.verdict;
        self->status = head.status;
        if (on_head) {
            on_head(head);
        }
    };
    it->on_body = [withheld, on_body](evbuffer* data) {
        return *withheld || !on_body || on_body(data);
    };
    it->on_end = [this, weak, withheld, on_end](bool whole) {
        const auto self = weak.lock();
        if (!self || self->ended || *withheld) {
            return;
        }
        if (on_end) {
            on_end(whole);
        }
        close(self);
    };
}

void host_task::route(const exchange_ptr& it)
{
    if (it->ended) {
        return;
    }
    if (!may_begin(*it, monotonic_now())) {
        refuse_stopping(it);
        return;
    }
    ++it->attempts;
    if (!choose_route(it)) {
        answer(it, {.why = refusal::shard_unavailable, .retry_after = no_route_retry_after});
        return;
    }
    const auto found = core_.find_route(it->shard);
    host_id leader;
    if (found) {
        it->server = found->server;
        leader = found->leader;
    } else {
        for (const auto& any : core_.any_routes(it->request.service)) {
            leader = any.server == it->server ? any.leader : leader;
        }
    }
    if (leader == self_) {
        serve_here(it);
        work_timer_.soon();
    } else {
        serve_there(leader, it);
    }
}

// A key has its shard. Other requests go by their idempotency key, so that a repeat finds the
// ledger, or to the better of two servers.
bool host_task::choose_route(const exchange_ptr& it)
{
    const auto& request = it->request;
    const auto* settings = service(request.service);
    if (settings == nullptr) {
        return false;
    }
    const bool by_key = settings->keyed || !request.idempotency_key.empty();
    if (by_key) {
        const auto& name = settings->keyed ? request.shard_key : request.idempotency_key;
        it->shard = core_.shard_of(request.service, name);
        return core_.find_route(it->shard).has_value();
    }
    it->shard = {request.service, any_shard};
    const auto routes = core_.any_routes(request.service);
    if (routes.empty()) {
        return false;
    }
    std::uniform_int_distribution<std::size_t> pick{0, routes.size() - 1};
    const auto& one = routes[pick(random_)];
    const auto& two = routes[pick(random_)];
    const auto load = [this](const server_id& id) {
        return std::count_if(open_.begin(), open_.end(),
                             [&](const auto& o) { return o.second->server == id; });
    };
    const bool first = one.server == two.server || load(one.server) <= load(two.server);
    it->server = first ? one.server : two.server;
    return true;
}

void host_task::serve_here(const exchange_ptr& it)
{
    const auto& request = it->request;
    if (it->from_peer) {
        const std::weak_ptr<exchange> weak = it;
        it->abort = [this, weak] {
            if (const auto self = weak.lock()) {
                caller_gone(self);
            }
        };
    }
    core_.begin(monotonic_now(), it->server,
                {.id = it->id,
                 .shard = it->shard,
                 .key = request.idempotency_key,
                 .fingerprint = request.fingerprint,
                 .idempotent = request.idempotent,
                 .klass = request.klass,
                 .deadline = request.deadline},
                effects_);
}

void host_task::serve_there(const host_id& leader, const exchange_ptr& it)
{
    it->handed_over = true;
    peers_.forward(leader, it,
                   {.failed = [this, it](forward_failure how) { on_forward_failed(it, how); },
                    .outlasts_silence =
                        [this, it] { return it->head_sent || stopping() || !may_run_again(*it); }});
}

void host_task::on_forward_failed(const exchange_ptr& it, const forward_failure& how)
{
    if (it->ended) {
        return;
    }
    it->abort = nullptr;
    if (how.handed_over && !may_run_again(*it)) {
        answer(it, {.verdict = verdict::unknown, .why = refusal::server_failed});
        return;
    }
    it->handed_over = how.handed_over;
    const response_head head{.verdict = verdict::not_run, .why = refusal::not_leader};
    if (try_again(it, head)) {
        return;
    }
    answer(it, {.verdict = how.handed_over ? verdict::unknown : verdict::not_run,
                .why = refusal::server_failed,
                .retry_after = no_route_retry_after});
}

bool host_task::try_again(const exchange_ptr& it, const response_head& head)
{
    if (it->from_peer || it->head_sent || head.verdict != verdict::not_run ||
        !may_be_elsewhere(head.why)) {
        return false;
    }
    const auto now = monotonic_now();
    const duration doubled = first_pause * (1 << std::min(it->attempts, 6));
    const auto pause = std::clamp<duration>(std::max<duration>(doubled, head.retry_after),
                                            first_pause, longest_pause);
    // Not worth waiting for a server that comes back after the deadline.
    const bool in_time =
        now + std::max(pause, head.retry_after) + least_time_left < it->request.deadline;
    if (!in_time || !may_begin(*it, now + pause) || it->attempts >= most_attempts ||
        now - it->started_at > route_again_within) {
        return false;
    }
    it->handed_over = false;
    ++metrics_.counter("quincewing_requests_rerouted_total");
    auto again = std::make_unique<timer>(loop_, [this, it] { route(it); });
    again->once(pause);
    again_[it->id] = std::move(again);
    return true;
}

void host_task::on_answer(const final_answer& how)
{
    const auto found = open_.find(how.id);
    if (found != open_.end()) {
        const auto it = found->second;
        answer(it, how);
    }
}

// The end of a run at one of our servers. Its answer has gone to the exchange already, unless
// there was none.
void host_task::on_finished(const exchange_ptr& it, const request_result& result)
{
    running_.erase(it->id);
    core_.finished(monotonic_now(), it->id, result, effects_);
    work_timer_.soon();
    if (it->ended || it->head_sent) {
        return;
    }
    final_answer how{.id = it->id, .verdict = result.verdict, .why = refusal::server_failed};
    if (result.shed) {
        how.why = refusal::overloaded;
    }
    how.retry_after = no_route_retry_after;
    answer(it, how);
}

void host_task::answer(const exchange_ptr& it, const final_answer& how)
{
    if (it->ended || it->head_sent) {
        return;
    }
    const auto [head, body] = to_response(how);
    it->on_head(head);
    if (!it->head_sent) {
        return;
    }
    auto* buf = evbuffer_new();
    evbuffer_add(buf, body.data(), body.size());
    it->on_body(buf);
    evbuffer_free(buf);
    it->on_end(true);
}

void host_task::close(const exchange_ptr& it)
{
    it->ended = true;
    count(*it);
    request_log_.add({.id = std::to_string(it->id.value),
                      .service = it->request.service,
                      .key = it->request.shard_key,
                      .idempotency_key = it->request.idempotency_key,
                      .shard = it->shard,
                      .server = it->server,
                      .verdict = it->sent_verdict,
                      .status = it->status,
                      .attempts = it->attempts,
                      .took = monotonic_now() - it->started_at});
    again_.erase(it->id);
    open_.erase(it->id);
}

host_task::request_metrics& host_task::metrics_for(const exchange& it)
{
    const metrics_key key{it.request.service.value, it.request.klass, it.from_peer};
    const auto [found, made] = request_metrics_.try_emplace(key);
    if (!made) {
        return found->second;
    }
    const registry::labels by{{"service", it.request.service.value},
                              {"class", to_string(it.request.klass)},
                              {"at", it.from_peer ? "leader" : "entry"}};
    found->second.times = &metrics_.times("quincewing_request_seconds", by);
    for (const auto verdict : {verdict::not_run, verdict::unknown, verdict::ran}) {
        auto with_verdict = by;
        with_verdict.emplace_back("verdict", to_string(verdict));
        found->second.by_verdict[static_cast<std::size_t>(verdict)] =
            &metrics_.counter("quincewing_requests_total", with_verdict);
    }
    return found->second;
}

void host_task::count(const exchange& it)
{
    auto& metrics = metrics_for(it);
    const std::chrono::duration<double> took = monotonic_now() - it.started_at;
    metrics.times->add(took.count());
    ++*metrics.by_verdict[static_cast<std::size_t>(it.sent_verdict)];
}

void host_task::caller_gone(const exchange_ptr& it)
{
    if (it->ended) {
        return;
    }
    it->ended = true;
    ++metrics_.counter("quincewing_callers_gone_total");
    core_.cancel(monotonic_now(), it->id, effects_);
    // A forwarded run with an idempotency key goes on, for the caller's next try.
    if (it->abort && it->request.idempotency_key.empty()) {
        it->abort();
    }
    again_.erase(it->id);
    open_.erase(it->id);
    work_timer_.soon();
}

void host_task::expire(const exchange_ptr& it)
{
    const bool running = running_.contains(it->id);
    const bool maybe_ran = running || it->handed_over;
    if (it->head_sent) {
        // Slow readers of large answers are bounded by the connection's own timeouts.
        return;
    }
    answer(it, {.id = it->id,
                .verdict = maybe_ran ? verdict::unknown : verdict::not_run,
                .why = refusal::deadline,
                .retry_after = no_route_retry_after});
    if (running) {
        // A run that must not be repeated goes on: its answer is for the caller's next try.
        if (it->request.idempotency_key.empty()) {
            abort_run(it);
        }
    } else if (it->abort) {
        it->abort();
    } else {
        core_.cancel(monotonic_now(), it->id, effects_);
    }
    work_timer_.soon();
}

void host_task::abort_run(const exchange_ptr& it)
{
    if (auto* pool = pool_for(it->server)) {
        pool->abort(it->id);
    }
}

// Runs whose caller has its answer end by the longest time that the service allows.
void host_task::end_overdue_runs(instant now)
{
    std::vector<exchange_ptr> overdue;
    for (const auto& [id, it] : running_) {
        const auto* settings = service(it->request.service);
        if (settings != nullptr && it->ended && now - it->started_at > settings->max_deadline) {
            overdue.push_back(it);
        }
    }
    for (const auto& it : overdue) {
        abort_run(it);
    }
}

void host_task::sweep()
{
    const auto now = monotonic_now();
    end_overdue_runs(now);
    std::vector<exchange_ptr> late;
    for (const auto& [id, it] : open_) {
        if (now >= it->request.deadline) {
            late.push_back(it);
        }
    }
    for (const auto& it : late) {
        expire(it);
    }
    for (const auto& [server, pool] : pools_) {
        pool->sweep(now);
    }
}

} // namespace quincewing
