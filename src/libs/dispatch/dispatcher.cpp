#include "quincewing/dispatch/dispatcher.hpp"

#include <algorithm>
#include <cmath>

namespace quincewing {

void dispatcher::set_servers(const std::vector<backend_server>& servers)
{
    for (auto& [id, it] : servers_) {
        it.announced = false;
    }
    for (const auto& it : servers) {
        const auto found = servers_.find(it.id);
        if (found == servers_.end() || found->second.server.start != it.start) {
            servers_[it.id] = {.server = it, .estimate = server_estimate{options_.estimate}};
        } else {
            found->second.server = it;
            found->second.announced = true;
        }
    }
    std::erase_if(servers_,
                  [](const auto& it) { return !it.second.announced && it.second.in_use == 0; });
}

void dispatcher::submit(instant now, const dispatch_ticket& ticket, dispatch_request request)
{
    waiting_request it{
        .ticket = ticket, .request = std::move(request), .objective = {}, .end = {}, .due = {}};
    it.objective = now + duration{it.request.objective_left};
    it.end = now + duration{it.request.time_left};
    it.due = due(now, it);
    shares_.on_asked(now, it.request.traffic_class);
    const bool any = std::any_of(servers_.begin(), servers_.end(), [&](const auto& server) {
        return fits(server.second, it) && !server.second.estimate.resting(now);
    });
    if (!any) {
        refuse(it, options_.estimate.rest_least, "no_server");
        return;
    }
    queue_.push_back(std::move(it));
    serve_queue(now);
    const auto found = std::find_if(queue_.begin(), queue_.end(),
                                    [&](const auto& w) { return w.ticket == ticket; });
    if (found == queue_.end()) {
        return;
    }
    // Whoever would wait until its answer is late takes a place that another could use in time.
    const auto wait = expected_wait(now, *found);
    if (now + wait + usual_work(*found) > found->due) {
        const auto back =
            std::clamp<duration>(wait, options_.come_back_least, options_.come_back_most);
        const auto turned = *found;
        queue_.erase(found);
        refuse(turned, back, "too_busy");
    }
}

void dispatcher::cancel(instant now, const dispatch_ticket& ticket)
{
    std::erase_if(queue_, [&](const auto& it) { return it.ticket == ticket; });
    finish(now, ticket, {.outcome = attempt_outcome::unused});
}

void dispatcher::finish(instant now, const dispatch_ticket& ticket, const attempt_report& report)
{
    const auto found = placed_.find(ticket);
    if (found == placed_.end()) {
        return;
    }
    const auto id = found->second.server;
    placed_.erase(found);
    release(id);
    if (const auto server = servers_.find(id); server != servers_.end()) {
        server->second.estimate.on_report(now, report, server->second.in_use);
    }
    serve_queue(now);
}

void dispatcher::remove_host(instant now, const host_id& host)
{
    std::erase_if(queue_, [&](const auto& it) { return it.ticket.host == host; });
    for (auto it = placed_.begin(); it != placed_.end();) {
        if (it->first.host == host) {
            release(it->second.server);
            it = placed_.erase(it);
        } else {
            ++it;
        }
    }
    serve_queue(now);
}

void dispatcher::tick(instant now)
{
    for (auto it = placed_.begin(); it != placed_.end();) {
        if (now > it->second.end + options_.forget_after) {
            release(it->second.server);
            it = placed_.erase(it);
        } else {
            ++it;
        }
    }
    serve_queue(now);
}

bool dispatcher::is_queued(const dispatch_ticket& ticket) const
{
    return std::any_of(queue_.begin(), queue_.end(),
                       [&](const auto& it) { return it.ticket == ticket; });
}

void dispatcher::release(const server_id& server)
{
    const auto found = servers_.find(server);
    if (found == servers_.end()) {
        return;
    }
    auto& it = found->second;
    it.in_use -= it.in_use > 0 ? 1 : 0;
    if (!it.announced && it.in_use == 0) {
        servers_.erase(found);
    }
}

std::uint32_t dispatcher::limit(instant now, const server_state& it) const
{
    if (!it.announced || it.estimate.resting(now)) {
        return 0;
    }
    if (it.estimate.probing()) {
        return 1;
    }
    const auto slots = std::max(1.0, std::round(it.server.slots * options_.slots_share));
    const auto all = static_cast<std::uint32_t>(slots) + options_.ahead;
    const auto others = it.estimate.used_by_others(now);
    return std::max<std::uint32_t>(all > others ? all - others : 0, 1);
}

std::uint32_t dispatcher::room(instant now, const server_state& it) const
{
    const auto most = limit(now, it);
    return most > it.in_use ? most - it.in_use : 0;
}

bool dispatcher::fits(const server_state& it, const waiting_request& request) const
{
    const auto& wanted = request.request;
    if (!it.announced) {
        return false;
    }
    if (!wanted.required_server.value.empty()) {
        return it.server.id == wanted.required_server;
    }
    return std::find(wanted.excluded_servers.begin(), wanted.excluded_servers.end(),
                     it.server.id) == wanted.excluded_servers.end();
}

// Expected time of the answer, with what distance costs and what failures of the server cost.
double dispatcher::cost(const server_state& it, const waiting_request& request) const
{
    constexpr double mib = 1024.0 * 1024.0;
    const auto work = static_cast<double>(it.estimate.work().count());
    const auto filled = static_cast<double>(it.in_use) / std::max(1U, it.server.slots);
    const bool near = it.server.data_centre == request.request.data_centre;
    const auto far_cost = static_cast<double>(options_.near_per_mib.count()) *
                          (static_cast<double>(request.request.answer_bytes) + 2048) / mib;
    const auto sound = std::max(0.05, 1.0 - it.estimate.failures());
    return work * (1.0 + 0.25 * filled) / (sound * sound) + (near ? 0.0 : far_cost);
}

dispatcher::server_state* dispatcher::choose(instant now, const waiting_request& it)
{
    server_state* best = nullptr;
    for (auto& [id, server] : servers_) {
        if (!fits(server, it) || room(now, server) == 0) {
            continue;
        }
        if (best == nullptr || cost(server, it) < cost(*best, it)) {
            best = &server;
        }
    }
    return best;
}

duration dispatcher::usual_work(const waiting_request& it) const
{
    duration sum{0};
    int n = 0;
    for (const auto& [id, server] : servers_) {
        if (fits(server, it)) {
            sum += server.estimate.work();
            ++n;
        }
    }
    return n == 0 ? options_.estimate.first_guess : sum / n;
}

// Those before it in the queue, and itself, take turns at the places that end one by one.
duration dispatcher::expected_wait(instant now, const waiting_request& it) const
{
    double ends_per_us = 0;
    for (const auto& [id, server] : servers_) {
        if (fits(server, it)) {
            ends_per_us +=
                limit(now, server) / static_cast<double>(server.estimate.work().count() + 1);
        }
    }
    if (ends_per_us <= 0) {
        return options_.estimate.rest_least;
    }
    const auto own = rank(now, it);
    const auto ahead = std::count_if(queue_.begin(), queue_.end(), [&](const auto& other) {
        return other.ticket != it.ticket && rank(now, other) <= own;
    });
    return duration{std::llround(static_cast<double>(ahead + 1) / ends_per_us)};
}

// The kind that fell behind first; within it whoever can still be in time, the tightest first;
// then whoever is late already.
std::tuple<double, bool, instant> dispatcher::rank(instant now, const waiting_request& it) const
{
    const bool late = now + usual_work(it) > it.due;
    return {shares_.standing(it.request.traffic_class, it.request.priority), late, it.due};
}

// Until when the answer has to be expected. One that can hardly be in time, because its objective
// leaves no room to wait for another's work or was used up before, may wait too: else it would get
// a place only when one is free, which at a busy server is never.
instant dispatcher::due(instant now, const waiting_request& it) const
{
    const auto share = [](duration all, double part) {
        return std::chrono::duration_cast<duration>(all * part);
    };
    const auto in_time = share(it.objective - now, options_.objective_share);
    const auto work = usual_work(it);
    if (in_time >= share(work, options_.room_to_wait)) {
        return std::min(now + in_time, it.end);
    }
    const auto late = share(duration{it.request.time_left}, options_.late_share);
    return std::min(now + std::max({in_time, late, work}), it.end);
}

void dispatcher::place(instant now, const waiting_request& it, server_state& server)
{
    shares_.on_served(now, it.request.traffic_class);
    ++server.in_use;
    placed_[it.ticket] = {.server = server.server.id, .end = it.end};
    decisions_.grants.push_back({.ticket = it.ticket, .server = server.server.id});
}

void dispatcher::refuse(const waiting_request& it, duration retry_after, const char* reason)
{
    decisions_.rejections.push_back(
        {.ticket = it.ticket, .retry_after = retry_after, .reason = reason});
}

void dispatcher::serve_queue(instant now)
{
    if (queue_.empty()) {
        return;
    }
    std::stable_sort(queue_.begin(), queue_.end(),
                     [&](const auto& a, const auto& b) { return rank(now, a) < rank(now, b); });
    for (auto it = queue_.begin(); it != queue_.end();) {
        const auto need = usual_work(*it) * options_.least_time_share;
        if (now + std::chrono::duration_cast<duration>(need) > it->end) {
            refuse(*it, options_.come_back_least, "no_time_left");
            it = queue_.erase(it);
            continue;
        }
        if (auto* server = choose(now, *it)) {
            place(now, *it, *server);
            it = queue_.erase(it);
            continue;
        }
        ++it;
    }
}

} // namespace quincewing
