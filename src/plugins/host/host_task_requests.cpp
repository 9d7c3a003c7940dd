#include "quincewing/host/host_task.hpp"

#include "retry_times.hpp"

#include <algorithm>

/// The way of one request through this host.
namespace quincewing {

namespace {

// A request that truly did not run is routed again, at most this often and for this long.
constexpr int most_attempts = 12;
constexpr seconds route_again_within{4};
constexpr millis first_pause{5};
constexpr millis longest_pause{200};
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

} // namespace quincewing
