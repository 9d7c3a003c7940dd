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
// Ticks are this far apart at most while the host is neither suspended nor overloaded.
constexpr millis late_tick{100};
// A new connection takes a round trip and time at both ends, which small hosts have little of.
constexpr millis connection_cost{20};

} // namespace

dispatch_task::dispatch_task(host_context context, peers_task& peers)
    : context_(std::move(context)), peers_(peers), lender_(monotonic_now())
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
    older_hosts_ = 0;
    candidates_ = {{.host = context_.self,
                    .cores = context_.settings.cores,
                    .skipped = leaving_.contains(context_.self)}};
    for (const auto& host : peers_.connected_hosts()) {
        const auto* identity = peers_.identity_of(host);
        older_hosts_ += identity != nullptr && identity->speaks < quota_spoken_version ? 1 : 0;
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
        // After a suspension leases may have ended since the last tick.
        const auto now = monotonic_now();
        if (found->second.limited() && now - last_tick_ > late_tick) {
            apply_limits(now, id, fallback, found->second);
        }
        return found->second;
    }
    const auto extra_grants = static_cast<std::uint32_t>(context_.settings.extra_grants);
    dispatcher_options options{.pool = {.extra_grants_per_slot = extra_grants},
                               .order = queue_order::rank,
                               .connection_cost = connection_cost};
    if (fallback) {
        options.pool.extra_grants_per_slot = 0;
        options.pool.slots_share = 1.0 / static_cast<double>(peers_.connected_hosts().size() + 1);
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
    if (target.limited() && !fallback) {
        limited_requested_at_[id] = monotonic_now();
    }
    target.submit(monotonic_now(), ticket, std::move(request));
    deliver_decisions(target);
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

void dispatch_task::tick(instant now)
{
    last_tick_ = now;
    lender_.set_lease_time(quota_lease_time(host_count()));
    lender_.tick(now);
    borrower_.tick(now);
    request_quotas(now);
    apply_all_limits(now);
    for (auto* all : {&dispatchers_, &fallback_dispatchers_}) {
        for (auto& [id, it] : *all) {
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
