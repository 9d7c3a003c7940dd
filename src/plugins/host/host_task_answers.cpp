#include "quincewing/host/host_task.hpp"

#include "retry_times.hpp"

#include <event2/buffer.h>
#include <vector>

/// The end of a request at this host: its answer, its deadline, or a caller that leaves.
namespace quincewing {

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
