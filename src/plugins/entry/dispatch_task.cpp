#include "dispatch_task.hpp"

#include "quincewing/base/hash.hpp"
#include "quincewing/logging/event_log.hpp"

#include <algorithm>

namespace quincewing {

namespace {

// A live dispatcher answers at once, if only to confirm that the request is queued.
constexpr millis acknowledge_timeout{120};
// Dispatchers that one request asks before this host grants slots itself: each host of a large
// fleet that does so sends a request to a server that may be full.
constexpr std::uint32_t max_dispatchers_asked = 2;
// A dispatcher that did not answer in time is not asked again for this long.
constexpr seconds unresponsive_period{2};

} // namespace

dispatch_task::dispatch_task(host_context context, peers_task& peers)
    : context_(std::move(context)), peers_(peers)
{
}

host_id dispatch_task::dispatcher_host_of(const group_id& group)
{
    if (candidates_.empty() || hosts_version_ != peers_.connected_version()) {
        on_hosts_change();
    }
    const auto found = dispatcher_hosts_.find(group);
    if (found != dispatcher_hosts_.end()) {
        return found->second;
    }
    return dispatcher_hosts_[group] = choose_dispatcher_host(group);
}

host_id dispatch_task::choose_dispatcher_host(const group_id& group) const
{
    const auto name = group.service.value + "/" + group.keyed_server.value + "/";
    const auto* chosen = choose_dispatcher(name, candidates_);
    return chosen == nullptr ? context_.self : chosen->host;
}

void dispatch_task::on_hosts_change()
{
    hosts_version_ = peers_.connected_version();
    dispatcher_hosts_.clear();
    candidates_ = {{.host = context_.self,
                    .cores = context_.settings.cores,
                    .skipped = leaving_.contains(context_.self)}};
    for (const auto& host : peers_.connected_hosts()) {
        const auto* identity = peers_.identity_of(host);
        const bool skipped = leaving_.contains(host) || unresponsive_until_.contains(host);
        candidates_.push_back(
            {.host = host, .cores = identity == nullptr ? 0 : identity->cores, .skipped = skipped});
    }
}

std::vector<backend_server> dispatch_task::servers_of(const group_id& id) const
{
    if (id.keyed_server.value.empty()) {
        return context_.view.servers_of(id.service);
    }
    const auto* server = context_.view.find_usable_server(id.keyed_server);
    return server == nullptr ? std::vector<backend_server>{} : std::vector{*server};
}

// A fallback hears from this host only.
std::size_t dispatch_task::losing_hosts(bool fallback) const
{
    return fallback || peers_.connected_hosts().empty() ? 1 : 2;
}

dispatcher& dispatch_task::get_dispatcher(const group_id& id, bool fallback)
{
    auto& all = fallback ? fallback_dispatchers_ : dispatchers_;
    const auto found = all.find(id);
    if (found != all.end()) {
        found->second.set_losing_hosts(losing_hosts(fallback));
        return found->second;
    }
    dispatcher_options options;
    if (fallback) {
        options.slots_share = 1.0 / static_cast<double>(peers_.connected_hosts().size() + 1);
    }
    auto& out = all.emplace(id, dispatcher{options}).first->second;
    out.set_losing_hosts(losing_hosts(fallback));
    out.set_servers(servers_of(id));
    apply_limits(monotonic_now(), id, fallback, out);
    return out;
}

std::uint64_t dispatch_task::request_slot(dispatch_request request, slot_hooks hooks)
{
    const auto number = next_number_++;
    const auto now = monotonic_now();
    const auto objective = now + duration{request.objective_left};
    const auto deadline = now + duration{request.time_left};
    requests_[number] = {.request = std::move(request),
                         .objective = objective,
                         .deadline = deadline,
                         .hooks = std::move(hooks),
                         .dispatcher_host = {},
                         .asked_at = now,
                         .confirmed_at = now};
    send_to_dispatcher(number);
    return number;
}

dispatch_request dispatch_task::with_time_left(const pending_request& it, instant now)
{
    auto out = it.request;
    out.objective_left = (it.objective - now).count();
    out.time_left = (it.deadline - now).count();
    return out;
}

void dispatch_task::send_to_dispatcher(std::uint64_t number)
{
    withdraw(number);
    auto& it = requests_.at(number);
    const auto id = group_of(it.request);
    it.dispatcher_host = dispatcher_host_of(id);
    ++it.times_asked;
    it.asked_at = monotonic_now();
    it.acknowledged = false;
    it.uses_fallback = false;
    const auto request = with_time_left(it, it.asked_at);
    if (it.dispatcher_host == context_.self) {
        submit(id, false, {.host = context_.self, .number = number}, request);
        return;
    }
    peers_.send(it.dispatcher_host, place_request{.number = number, .request = request});
}

void dispatch_task::submit_to_fallback(std::uint64_t number)
{
    withdraw(number);
    auto& it = requests_.at(number);
    it.uses_fallback = true;
    it.acknowledged = true;
    it.dispatcher_host = context_.self;
    submit(group_of(it.request), true, {.host = context_.self, .number = number},
           with_time_left(it, monotonic_now()));
}

void dispatch_task::ask_elsewhere(const host_id& host)
{
    for (const auto number : waiting_at(host)) {
        if (requests_.contains(number)) {
            send_to_dispatcher(number);
        }
    }
}

void dispatch_task::submit(const group_id& id, bool fallback, const dispatch_ticket& ticket,
                           dispatch_request request)
{
    auto& target = get_dispatcher(id, fallback);
    target.submit(monotonic_now(), ticket, std::move(request));
    deliver_decisions(target);
}

void dispatch_task::deliver_decisions(dispatcher& from)
{
    const auto decisions = from.take_decisions();
    for (const auto& it : decisions.grants) {
        if (it.ticket.host == context_.self) {
            deliver_grant(it.ticket.number, it.server);
        } else {
            peers_.send(it.ticket.host,
                        place_given{.number = it.ticket.number, .server = it.server});
        }
    }
    for (const auto& it : decisions.rejections) {
        if (it.ticket.host == context_.self) {
            deliver_rejection(it.ticket.number, it.retry_after, it.reason);
        } else {
            peers_.send(it.ticket.host, place_refused{.number = it.ticket.number,
                                                      .retry_after = static_cast<std::uint64_t>(
                                                          it.retry_after.count()),
                                                      .reason = it.reason});
        }
    }
}

void dispatch_task::deliver_grant(std::uint64_t number, const server_id& server)
{
    const auto found = requests_.find(number);
    if (found == requests_.end()) {
        return;
    }
    found->second.granted = true;
    const auto hooks = found->second.hooks;
    hooks.on_granted(number, server);
}

void dispatch_task::deliver_rejection(std::uint64_t number, duration retry_after,
                                      const std::string& reason)
{
    const auto found = requests_.find(number);
    if (found == requests_.end()) {
        return;
    }
    const auto hooks = std::move(found->second.hooks);
    requests_.erase(found);
    hooks.on_refused(retry_after, reason);
}

void dispatch_task::release_slot(std::uint64_t number, const attempt_report& report)
{
    const auto found = requests_.find(number);
    if (found == requests_.end()) {
        return;
    }
    const auto it = std::move(found->second);
    requests_.erase(found);
    return_place(number, it, report);
}

void dispatch_task::withdraw(std::uint64_t number)
{
    const auto it = requests_.at(number);
    if (!it.dispatcher_host.value.empty()) {
        return_place(number, it, {.outcome = attempt_outcome::unused});
    }
}

void dispatch_task::return_place(std::uint64_t number, const pending_request& it,
                                 const attempt_report& report)
{
    const auto id = group_of(it.request);
    if (it.dispatcher_host != context_.self) {
        if (!peers_.connected(it.dispatcher_host)) {
            to_check_[it.dispatcher_host] = monotonic_now();
            return;
        }
        peers_.send(it.dispatcher_host, place_done{.number = number,
                                                   .service = id.service,
                                                   .only = id.keyed_server,
                                                   .report = report});
        return;
    }
    auto& from = get_dispatcher(id, it.uses_fallback);
    const dispatch_ticket ticket{.host = context_.self, .number = number};
    if (it.granted) {
        from.finish(monotonic_now(), ticket, report);
    } else {
        from.cancel(monotonic_now(), ticket);
    }
    deliver_decisions(from);
}

// ---- requests to this host's dispatchers

void dispatch_task::on_message(const host_id& from, const place_request& it)
{
    if (leaving_.contains(context_.self) || !context_.view.servers_known()) {
        peers_.send(from, place_declined{.number = it.number});
        return;
    }
    const dispatch_ticket ticket{.host = from, .number = it.number};
    const auto id = group_of(it.request);
    submit(id, false, ticket, it.request);
    if (get_dispatcher(id, false).is_queued(ticket)) {
        peers_.send(from, place_queued{.number = it.number});
    }
}

void dispatch_task::on_message(const host_id& from, const place_done& it)
{
    auto& target = get_dispatcher({it.service, it.only}, false);
    const dispatch_ticket ticket{.host = from, .number = it.number};
    const auto now = monotonic_now();
    if (target.is_queued(ticket)) {
        target.cancel(now, ticket);
    } else {
        target.finish(now, ticket, it.report);
    }
    deliver_decisions(target);
}

// ---- replies from other hosts' dispatchers

void dispatch_task::on_message(const host_id& from, const place_queued& it)
{
    const auto found = requests_.find(it.number);
    if (found != requests_.end() && found->second.dispatcher_host == from) {
        found->second.acknowledged = true;
        found->second.confirmed_at = monotonic_now();
    }
}

void dispatch_task::on_message(const host_id& from, const place_given& it)
{
    const auto found = requests_.find(it.number);
    if (found == requests_.end() || found->second.dispatcher_host != from) {
        // The request ended or was sent elsewhere, and the dispatcher may not have been told.
        to_check_[from] = monotonic_now();
        return;
    }
    if (!found->second.granted) {
        deliver_grant(it.number, it.server);
    }
}

void dispatch_task::on_message(const host_id& from, const place_refused& it)
{
    const auto found = requests_.find(it.number);
    if (found != requests_.end() && !found->second.granted &&
        found->second.dispatcher_host == from) {
        deliver_rejection(it.number, duration{it.retry_after}, it.reason);
    }
}

// ---- ticks and changes of servers and hosts

void dispatch_task::on_servers(instant now)
{
    for (auto* all : {&dispatchers_, &fallback_dispatchers_}) {
        for (auto& [id, it] : *all) {
            it.set_servers(servers_of(id));
            apply_limits(now, id, all == &fallback_dispatchers_, it);
            it.tick(now);
            deliver_decisions(it);
        }
        dispatcher_hosts_.clear();
        std::erase_if(
            *all, [&](const auto& it) { return it.second.idle() && servers_of(it.first).empty(); });
    }
}

void dispatch_task::on_host_lost(const host_id& host)
{
    const auto now = monotonic_now();
    for (auto& [id, it] : dispatchers_) {
        it.remove_host(now, host);
        deliver_decisions(it);
    }
    checks_sent_.erase(host);
    // What was sent last may not have arrived.
    to_check_[host] = now;
    ask_elsewhere(host);
}

void dispatch_task::on_host_leaving(const host_id& host)
{
    leaving_.insert(host);
    on_hosts_change();
    if (host != context_.self) {
        ask_elsewhere(host);
    }
}

void dispatch_task::tick(instant now)
{
    for (auto* all : {&dispatchers_, &fallback_dispatchers_}) {
        for (auto& [id, it] : *all) {
            if (it.limited()) {
                apply_limits(now, id, all == &fallback_dispatchers_, it);
            }
            if (!it.idle()) {
                it.tick(now);
                deliver_decisions(it);
            }
        }
    }
    std::vector<std::uint64_t> unanswered;
    for (const auto& [number, it] : requests_) {
        if (waits_elsewhere(it) && !it.acknowledged && now - it.asked_at > acknowledge_timeout) {
            unanswered.push_back(number);
        }
    }
    for (const auto number : unanswered) {
        const auto found = requests_.find(number);
        if (found != requests_.end()) {
            skip_dispatchers_of(found->second.dispatcher_host, now);
            if (found->second.times_asked < max_dispatchers_asked) {
                send_to_dispatcher(number);
            } else {
                submit_to_fallback(number);
            }
        }
    }
    check_dispatchers(now);
    if (std::erase_if(unresponsive_until_, [&](const auto& it) { return now > it.second; }) > 0) {
        on_hosts_change();
    }
}

void dispatch_task::skip_dispatchers_of(const host_id& host, instant now)
{
    if (unresponsive_until_.emplace(host, now + unresponsive_period).second) {
        on_hosts_change();
        log_event("dispatcher_silent", {{"host", host.value}});
    }
}

bool dispatch_task::waits_elsewhere(const pending_request& it) const
{
    return !it.granted && it.dispatcher_host != context_.self;
}

std::vector<std::uint64_t> dispatch_task::waiting_at(const host_id& host) const
{
    std::vector<std::uint64_t> out;
    for (const auto& [number, it] : requests_) {
        if (!it.granted && it.dispatcher_host == host) {
            out.push_back(number);
        }
    }
    return out;
}

std::size_t dispatch_task::waiting() const
{
    return static_cast<std::size_t>(std::count_if(
        requests_.begin(), requests_.end(), [](const auto& it) { return !it.second.granted; }));
}

} // namespace quincewing
