#include "quincewing/dispatch/dispatcher.hpp"

#include <algorithm>
#include <cmath>

/// dispatcher: what it is told, and the choice of requests.
namespace quincewing {

void dispatcher::submit(instant now, const dispatch_ticket& ticket, dispatch_request request)
{
    if (const auto found = granted_.find(ticket); found != granted_.end()) {
        // The requester asks again because the grant did not reach it.
        decisions_.grants.push_back({.ticket = ticket, .server = found->second.server});
        return;
    }
    queue_.erase(ticket);
    without_server_.erase(ticket);
    waiting_request waiting{.ticket = ticket,
                            .request = std::move(request),
                            .objective = {},
                            .deadline = {},
                            .answer_due = {}};
    const auto capacity = pool_.capacity_for(now, waiting.request);
    set_due(now, waiting, capacity);
    shares_.on_submitted(now, waiting.request.traffic_class);
    arrivals_.on_submitted(now, waiting.flow());
    if (const auto key = waiting.request.key_number()) {
        keys_.on_submitted(now, *key);
        keys_.update(now, request_rate{capacity.per_us * 1e6});
    }
    note_load(now, capacity);
    if (!capacity.ready) {
        reject(waiting, options_.pool.estimate.min_backoff, "no_server");
        return;
    }
    queue_.insert(waiting);
    process_queue(now);
    if (!queue_.contains(ticket)) {
        return;
    }
    // A request whose answer would be late anyway must not take a slot from one in time.
    const auto wait = expected_wait(now, waiting, capacity);
    if (has_to_be_rejected(now, waiting, capacity, wait)) {
        queue_.erase(ticket);
        reject_busy(now, waiting, capacity, wait);
    }
}

void dispatcher::cancel(instant now, const dispatch_ticket& ticket)
{
    queue_.erase(ticket);
    without_server_.erase(ticket);
    finish(now, ticket, {.outcome = attempt_outcome::unused});
}

void dispatcher::finish(instant now, const dispatch_ticket& ticket, const attempt_report& report)
{
    const auto found = granted_.find(ticket);
    if (found == granted_.end()) {
        return;
    }
    const auto granted = found->second;
    granted_.erase(found);
    pool_.release_slot(granted.server);
    if (auto* server = pool_.find(granted.server)) {
        const report_context context{.from = ticket.host,
                                     .slots_in_use = server->slots_in_use,
                                     .losing_hosts = losing_hosts_};
        auto in_slot = report;
        in_slot.took =
            static_cast<std::uint64_t>(static_cast<double>(report.took) * granted.share_in_slot);
        server->estimate.on_report(now, context, in_slot);
    }
    if (report.outcome == attempt_outcome::answered && options_.connection_cost > duration{0}) {
        connections_.on_answered(now, ticket.host, granted.server);
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
    if (numbers.empty()) {
        connections_.forget(host);
    }
    queue_.erase_if([&](const waiting_request& it) { return dropped(it.ticket); });
    std::erase_if(without_server_, [&](const auto& it) { return dropped(it.first); });
    bool freed = false;
    for (auto it = granted_.begin(); it != granted_.end();) {
        if (dropped(it->first)) {
            pool_.release_slot(it->second.server);
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
            pool_.release_slot(it->second.server);
            it = granted_.erase(it);
        } else {
            ++it;
        }
    }
    process_queue(now);
    reject_hopeless(now);
}

std::optional<server_id> dispatcher::granted_server(const dispatch_ticket& ticket) const
{
    const auto found = granted_.find(ticket);
    return found == granted_.end() ? std::nullopt : std::optional{found->second.server};
}

// ---- order

bool dispatcher::below_floor(std::uint64_t traffic_class) const
{
    return shares_.share(traffic_class) < options_.floor_share * shares_.overall_share();
}

// Fair: first keys within their share of the server; of these the traffic class that is furthest
// behind its share; within a class the requests that can still be in time; of these the one that is
// due first.
flow_rank dispatcher::rank_of(const flow_id& flow, bool late) const
{
    const bool above_key_share = flow.key && keys_.above_share(*flow.key);
    if (!by_rank_) {
        return {.above_key_share = above_key_share,
                .share = shares_.score(flow.traffic_class, flow.priority),
                .late_in_class = late};
    }
    return {.above_floor = !below_floor(flow.traffic_class),
            .late = late || flow.tight,
            .priority = overloaded_ ? flow.priority : 0,
            .above_key_share = above_key_share,
            .share = overloaded_ ? shares_.share(flow.traffic_class) : 0};
}

waiting_queue::rank_function dispatcher::rank_function() const
{
    return [this](const flow_id& flow, bool late) { return rank_of(flow, late); };
}

instant dispatcher::late_before(instant now) const
{
    return now + pool_.processing_time();
}

// A slot is idle while the report of an answer and the next grant travel between hosts. A request
// already in the server's own queue starts at once, but can't be put behind a more urgent one any
// more, so extra grants are made only while many requests wait.
bool dispatcher::many_waiting() const
{
    const auto many = options_.many_waiting_per_server * static_cast<double>(pool_.size());
    return static_cast<double>(queue_.size()) >= many;
}

void dispatcher::process_queue(instant now)
{
    grant_slots(now, slot_kind::own);
    if (options_.pool.extra_grants_per_slot > 0 && many_waiting()) {
        grant_slots(now, slot_kind::extra);
    }
}

void dispatcher::grant_slots(instant now, slot_kind kind)
{
    if (queue_.empty()) {
        return;
    }
    auto free = pool_.with_free_slots(now, kind);
    if (free.empty()) {
        return;
    }
    // Grants don't change it. Computed once, because it is a sum over all servers.
    const auto usual = pool_.processing_time();
    const auto min_time = std::chrono::duration_cast<duration>(usual * options_.min_time_share);
    queue_walk walk{queue_, rank_function(), now + usual};
    while (!free.empty() && (kind == slot_kind::own || many_waiting())) {
        const auto* next = walk.next();
        if (next == nullptr) {
            return;
        }
        const auto ticket = next->ticket;
        if (now + min_time > next->deadline) {
            reject(*next, options_.min_retry_after, "no_time_left");
            queue_.erase(ticket);
            continue;
        }
        auto* server = choose_server(now, *next, free, usual);
        if (server == nullptr) {
            continue;
        }
        grant(now, *next, *server);
        queue_.erase(ticket);
        if (pool_.free_slots(now, *server, kind) == 0) {
            std::erase(free, server);
        }
        walk.update_ranks();
    }
}

void dispatcher::grant(instant now, const waiting_request& waiting, pooled_server& server)
{
    shares_.on_granted(now, waiting.request.traffic_class);
    if (const auto key = waiting.request.key_number()) {
        keys_.on_granted(now, *key);
    }
    ++server.slots_in_use;
    server.last_grant_at = now;
    if (server.bucket) {
        server.bucket->take(now);
    }
    without_server_.erase(waiting.ticket);
    if (options_.connection_cost > duration{0}) {
        connections_.on_granted(now, waiting.ticket.host, server.server.id);
    }
    const auto slots = std::max(1U, server.server.slots);
    granted_[waiting.ticket] = {
        .server = server.server.id,
        .deadline = waiting.deadline,
        .share_in_slot = std::min(1.0, static_cast<double>(slots) / server.slots_in_use)};
    const auto kind = server.slots_in_use > slots ? slot_kind::extra : slot_kind::own;
    decisions_.grants.push_back(
        {.ticket = waiting.ticket, .server = server.server.id, .kind = kind});
}

} // namespace quincewing
