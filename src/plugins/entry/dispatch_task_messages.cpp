#include "dispatch_task.hpp"

#include "quincewing/logging/event_log.hpp"

/// dispatch_task: messages of other hosts, and their going.
namespace quincewing {

namespace {

// A dispatcher that did not answer in time is not asked again for this long.
constexpr seconds unresponsive_period{2};

} // namespace

void dispatch_task::deliver_decisions(dispatcher& from)
{
    const auto decisions = from.take_decisions();
    for (const auto& it : decisions.grants) {
        const char* slot = it.kind == slot_kind::extra ? "extra" : "own";
        ++context_.metrics.counter("quincewing_dispatch_grants_total", {{"slot", slot}});
        if (it.ticket.host == context_.self) {
            deliver_grant(it.ticket.number, it.server);
        } else {
            peers_.send(it.ticket.host,
                        place_given{.number = it.ticket.number, .server = it.server});
        }
    }
    for (const auto& it : decisions.rejections) {
        ++context_.metrics.counter("quincewing_dispatch_rejections_total", {{"reason", it.reason}});
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

// ---- servers and hosts

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
    if (host == context_.self) {
        borrower_.return_all();
        apply_all_limits(monotonic_now());
        return;
    }
    lender_.on_returned(host);
    ask_elsewhere(host);
}

void dispatch_task::skip_dispatchers_of(const host_id& host, instant now)
{
    if (unresponsive_until_.emplace(host, now + unresponsive_period).second) {
        on_hosts_change();
        log_event("dispatcher_silent", {{"host", host.value}});
    }
}

} // namespace quincewing
