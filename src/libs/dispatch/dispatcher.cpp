#include "quincewing/dispatch/dispatcher.hpp"

#include <algorithm>
#include <cmath>

namespace quincewing {

void dispatcher::set_servers(const std::vector<backend_server>& servers)
{
    for (auto& [id, state] : servers_) {
        state.listed = false;
    }
    for (const auto& server : servers) {
        const auto found = servers_.find(server.id);
        if (found == servers_.end() || found->second.server.start != server.start) {
            servers_[server.id] = {.server = server,
                                   .estimate = server_estimate{options_.estimate}};
        } else {
            found->second.server = server;
            found->second.listed = true;
        }
    }
    std::erase_if(servers_, [](const auto& entry) {
        return !entry.second.listed && entry.second.slots_in_use == 0;
    });
}

void dispatcher::set_rate_limits(instant now, const std::map<server_id, request_rate>& limits)
{
    for (auto& [id, state] : servers_) {
        const auto found = limits.find(id);
        if (found == limits.end()) {
            state.bucket.reset();
            continue;
        }
        if (!state.bucket) {
            state.bucket.emplace(now);
        }
        state.bucket->set_rate(now, found->second);
    }
}

bool dispatcher::limited() const
{
    return std::any_of(servers_.begin(), servers_.end(),
                       [](const auto& entry) { return entry.second.bucket.has_value(); });
}

void dispatcher::submit(instant now, const dispatch_ticket& ticket, dispatch_request request)
{
    if (const auto found = granted_.find(ticket); found != granted_.end()) {
        // The requester asks again because the grant did not reach it.
        decisions_.grants.push_back({.ticket = ticket, .server = found->second.server});
        return;
    }
    remove_from_queue(ticket);
    waiting_request waiting{.ticket = ticket,
                            .request = std::move(request),
                            .objective = {},
                            .deadline = {},
                            .answer_due = {},
                            .without_server_since = {}};
    waiting.objective = now + duration{waiting.request.objective_left};
    waiting.deadline = now + duration{waiting.request.time_left};
    waiting.answer_due = answer_due(now, waiting);
    shares_.on_submitted(now, waiting.request.traffic_class);
    const bool any_server = std::any_of(servers_.begin(), servers_.end(), [&](const auto& entry) {
        return is_eligible(entry.second, waiting) && !entry.second.estimate.backing_off(now);
    });
    if (!any_server) {
        reject(waiting, options_.estimate.min_backoff, "no_server");
        return;
    }
    queue_.push_back(std::move(waiting));
    process_queue(now);
    const auto found = std::find_if(queue_.begin(), queue_.end(),
                                    [&](const auto& queued) { return queued.ticket == ticket; });
    if (found == queue_.end()) {
        return;
    }
    // A request whose answer would be late anyway must not take a slot from one in time.
    const auto wait = expected_wait(now, *found);
    if (now + wait + expected_processing_time(*found) > found->answer_due) {
        const auto rejected = *found;
        queue_.erase(found);
        reject_busy(now, rejected, wait);
    }
}

void dispatcher::cancel(instant now, const dispatch_ticket& ticket)
{
    remove_from_queue(ticket);
    finish(now, ticket, {.outcome = attempt_outcome::unused});
}

void dispatcher::finish(instant now, const dispatch_ticket& ticket, const attempt_report& report)
{
    const auto found = granted_.find(ticket);
    if (found == granted_.end()) {
        return;
    }
    const auto id = found->second.server;
    granted_.erase(found);
    release_slot(id);
    if (const auto server = servers_.find(id); server != servers_.end()) {
        const report_context context{.from = ticket.host,
                                     .slots_in_use = server->second.slots_in_use,
                                     .losing_hosts = losing_hosts_};
        server->second.estimate.on_report(now, context, report);
    }
    process_queue(now);
}

void dispatcher::remove_host(instant now, const host_id& host)
{
    keep_only(now, host, {});
}

void dispatcher::keep_only(instant now, const host_id& host, const std::set<std::uint64_t>& numbers)
{
    const auto dropped = [&](const dispatch_ticket& ticket) {
        return ticket.host == host && !numbers.contains(ticket.number);
    };
    std::erase_if(queue_, [&](const auto& queued) { return dropped(queued.ticket); });
    bool freed = false;
    for (auto it = granted_.begin(); it != granted_.end();) {
        if (dropped(it->first)) {
            release_slot(it->second.server);
            it = granted_.erase(it);
            freed = true;
        } else {
            ++it;
        }
    }
    if (freed) {
        process_queue(now);
    }
}

void dispatcher::tick(instant now)
{
    for (auto it = granted_.begin(); it != granted_.end();) {
        if (now > it->second.deadline + options_.reclaim_after) {
            release_slot(it->second.server);
            it = granted_.erase(it);
        } else {
            ++it;
        }
    }
    process_queue(now);
    reject_hopeless(now);
}

void dispatcher::remove_from_queue(const dispatch_ticket& ticket)
{
    std::erase_if(queue_, [&](const auto& queued) { return queued.ticket == ticket; });
}

bool dispatcher::is_queued(const dispatch_ticket& ticket) const
{
    return std::any_of(queue_.begin(), queue_.end(),
                       [&](const auto& queued) { return queued.ticket == ticket; });
}

std::optional<server_id> dispatcher::granted_server(const dispatch_ticket& ticket) const
{
    const auto found = granted_.find(ticket);
    return found == granted_.end() ? std::nullopt : std::optional{found->second.server};
}

void dispatcher::release_slot(const server_id& server)
{
    const auto found = servers_.find(server);
    if (found == servers_.end()) {
        return;
    }
    auto& state = found->second;
    state.slots_in_use -= state.slots_in_use > 0 ? 1 : 0;
    if (!state.listed && state.slots_in_use == 0) {
        servers_.erase(found);
    }
}

std::uint32_t dispatcher::slot_limit(instant now, const server_state& state) const
{
    if (!state.listed || state.estimate.backing_off(now)) {
        return 0;
    }
    if (state.estimate.probing()) {
        return 1;
    }
    return usable_slots(now, state);
}

std::uint32_t dispatcher::usable_slots(instant now, const server_state& state) const
{
    const auto slots = std::max(1.0, std::round(state.server.slots * options_.slots_share));
    const auto total = static_cast<std::uint32_t>(slots) + options_.extra_grants;
    const auto others = state.estimate.slots_used_by_others(now);
    return std::max<std::uint32_t>(total > others ? total - others : 0, 1);
}

std::uint32_t dispatcher::free_slots(instant now, const server_state& state) const
{
    if (state.bucket && state.bucket->wait(now) > duration{0}) {
        return 0;
    }
    const auto limit = slot_limit(now, state);
    return limit > state.slots_in_use ? limit - state.slots_in_use : 0;
}

bool dispatcher::is_eligible(const server_state& state, const waiting_request& waiting) const
{
    const auto& request = waiting.request;
    if (!state.listed) {
        return false;
    }
    if (!request.required_server.value.empty()) {
        return state.server.id == request.required_server;
    }
    return std::find(request.excluded_servers.begin(), request.excluded_servers.end(),
                     state.server.id) == request.excluded_servers.end();
}

// Expected processing time, raised by the server's load and failure rate, plus the cost of a
// transfer between data centres.
double dispatcher::cost(const server_state& state, const waiting_request& waiting) const
{
    constexpr double mib = 1024.0 * 1024.0;
    const auto processing_time = static_cast<double>(state.estimate.processing_time().count());
    const auto utilization =
        static_cast<double>(state.slots_in_use) / std::max(1U, state.server.slots);
    const bool local = state.server.data_centre == waiting.request.data_centre;
    const auto remote_cost = static_cast<double>(options_.remote_cost_per_mib.count()) *
                             (static_cast<double>(waiting.request.answer_bytes) + 2048) / mib;
    const auto success_rate = std::max(0.05, 1.0 - state.estimate.failure_rate());
    return processing_time * (1.0 + 0.25 * utilization) / (success_rate * success_rate) +
           (local ? 0.0 : remote_cost);
}

dispatcher::server_state* dispatcher::choose_server(instant now, const waiting_request& waiting)
{
    server_state* best = nullptr;
    for (auto& [id, state] : servers_) {
        if (!is_eligible(state, waiting) || free_slots(now, state) == 0) {
            continue;
        }
        if (state.bucket && now - state.last_grant_at >= options_.limited_server_interval) {
            return &state;
        }
        if (best == nullptr || cost(state, waiting) < cost(*best, waiting)) {
            best = &state;
        }
    }
    return best;
}

// First the traffic class that is furthest behind its share; within a class first the requests
// that can still be in time; of these the one that is due first.
std::tuple<double, bool, instant> dispatcher::rank(instant now,
                                                   const waiting_request& waiting) const
{
    const bool late = now + expected_processing_time(waiting) > waiting.answer_due;
    return {shares_.score(waiting.request.traffic_class, waiting.request.priority), late,
            waiting.answer_due};
}

// Requests that can hardly meet their latency objective, because it has passed or leaves no time
// to wait for a slot, may wait until nearer their deadline. Otherwise they would be served only
// when a slot is free at once, which never happens at a busy server.
instant dispatcher::answer_due(instant now, const waiting_request& waiting) const
{
    const auto scaled = [](duration all, double factor) {
        return std::chrono::duration_cast<duration>(all * factor);
    };
    const auto in_time = scaled(waiting.objective - now, options_.objective_share);
    const auto processing_time = expected_processing_time(waiting);
    if (in_time >= scaled(processing_time, options_.tight_objective_factor)) {
        return std::min(now + in_time, waiting.deadline);
    }
    const auto late = scaled(duration{waiting.request.time_left}, options_.tight_deadline_share);
    return std::min(now + std::max({in_time, late, processing_time}), waiting.deadline);
}

void dispatcher::grant(instant now, const waiting_request& waiting, server_state& state)
{
    shares_.on_granted(now, waiting.request.traffic_class);
    ++state.slots_in_use;
    state.last_grant_at = now;
    if (state.bucket) {
        state.bucket->take(now);
    }
    granted_[waiting.ticket] = {.server = state.server.id, .deadline = waiting.deadline};
    decisions_.grants.push_back({.ticket = waiting.ticket, .server = state.server.id});
}

void dispatcher::reject(const waiting_request& waiting, duration retry_after, const char* reason)
{
    decisions_.rejections.push_back(
        {.ticket = waiting.ticket, .retry_after = retry_after, .reason = reason});
}

void dispatcher::process_queue(instant now)
{
    if (queue_.empty()) {
        return;
    }
    std::stable_sort(queue_.begin(), queue_.end(),
                     [&](const auto& a, const auto& b) { return rank(now, a) < rank(now, b); });
    for (auto it = queue_.begin(); it != queue_.end();) {
        const auto min_time = expected_processing_time(*it) * options_.min_time_share;
        if (now + std::chrono::duration_cast<duration>(min_time) > it->deadline) {
            reject(*it, options_.min_retry_after, "no_time_left");
            it = queue_.erase(it);
            continue;
        }
        if (auto* server = choose_server(now, *it)) {
            grant(now, *it, *server);
            it = queue_.erase(it);
            continue;
        }
        ++it;
    }
}

// The queue is in order. Servers may have slowed down or been lost since a request was submitted,
// and others may have been put before it.
void dispatcher::reject_hopeless(instant now)
{
    std::vector<waiting_request> kept;
    kept.reserve(queue_.size());
    for (auto& it : queue_) {
        if (lost_its_servers(now, it)) {
            reject(it, options_.estimate.min_backoff, "no_server");
            continue;
        }
        const auto wait = least_wait(now, it, kept.size());
        if (!it.without_server_since && now + wait + expected_processing_time(it) > it.deadline) {
            reject_busy(now, it, wait);
            continue;
        }
        kept.push_back(std::move(it));
    }
    queue_ = std::move(kept);
}

bool dispatcher::lost_its_servers(instant now, waiting_request& waiting) const
{
    const bool any_server = std::any_of(servers_.begin(), servers_.end(), [&](const auto& entry) {
        return is_eligible(entry.second, waiting);
    });
    if (any_server) {
        waiting.without_server_since.reset();
        return false;
    }
    if (waiting.request.required_server.value.empty()) {
        return true;
    }
    if (!waiting.without_server_since) {
        waiting.without_server_since = now;
    }
    return now - *waiting.without_server_since > options_.follow_owner_time;
}

} // namespace quincewing
