#include "dispatch_task.hpp"

#include <set>

namespace quincewing {

namespace {

// A dispatcher is asked this often whether it still has the requests that wait there.
constexpr millis check_period{400};
constexpr millis check_timeout{400};
// By then the dispatcher has reclaimed the slots by itself.
constexpr seconds forget_check_after{30};

} // namespace

// One message for all requests at a host, and none while requests get their slots at once.
void dispatch_task::check_dispatchers(instant now)
{
    std::set<host_id> silent;
    for (const auto& [host, sent_at] : checks_sent_) {
        if (now - sent_at > check_timeout) {
            silent.insert(host);
        }
    }
    for (const auto& host : silent) {
        on_silent(host, now);
    }
    std::set<host_id> due;
    for (const auto& [number, it] : requests_) {
        if (waits_elsewhere(it) && it.acknowledged && now - it.confirmed_at > check_period) {
            due.insert(it.dispatcher_host);
        }
    }
    for (const auto& [host, since] : to_check_) {
        if (peers_.connected(host)) {
            due.insert(host);
        }
    }
    for (const auto& host : due) {
        if (!checks_sent_.contains(host)) {
            send_check(host, now);
        }
    }
    std::erase_if(to_check_, [&](const auto& it) { return now - it.second > forget_check_after; });
}

void dispatch_task::send_check(const host_id& host, instant now)
{
    place_check out;
    for (const auto& [number, it] : requests_) {
        if (it.dispatcher_host == host) {
            (it.granted ? out.granted : out.waiting).push_back(number);
        }
    }
    checks_sent_[host] = now;
    to_check_.erase(host);
    peers_.send(host, out);
}

void dispatch_task::on_silent(const host_id& host, instant now)
{
    checks_sent_.erase(host);
    skip_dispatchers_of(host, now);
    for (const auto number : waiting_at(host)) {
        if (requests_.contains(number)) {
            submit_to_fallback(number);
        }
    }
}

// The link delivers in order: a request that is not in the list was given up before it was sent.
void dispatch_task::on_message(const host_id& from, const place_check& it)
{
    std::set<std::uint64_t> numbers{it.waiting.begin(), it.waiting.end()};
    numbers.insert(it.granted.begin(), it.granted.end());
    place_check_result result{.unknown = it.waiting};
    for (auto& entry : dispatchers_) {
        auto& target = entry.second;
        target.keep_only(monotonic_now(), from, numbers);
        deliver_decisions(target);
        std::erase_if(result.unknown, [&](std::uint64_t number) {
            return confirm(target, {.host = from, .number = number});
        });
    }
    peers_.send(from, result);
}

bool dispatch_task::confirm(const dispatcher& target, const dispatch_ticket& ticket)
{
    const auto server = target.granted_server(ticket);
    if (server) {
        peers_.send(ticket.host, place_given{.number = ticket.number, .server = *server});
    }
    return server || target.is_queued(ticket);
}

void dispatch_task::on_message(const host_id& from, const place_check_result& it)
{
    checks_sent_.erase(from);
    for (auto& [number, request] : requests_) {
        if (request.dispatcher_host == from) {
            request.confirmed_at = monotonic_now();
        }
    }
    for (const auto number : it.unknown) {
        const auto found = requests_.find(number);
        if (found != requests_.end() && !found->second.granted &&
            found->second.dispatcher_host == from) {
            send_to_dispatcher(number);
        }
    }
}

void dispatch_task::on_message(const host_id& from, const place_declined& it)
{
    const auto found = requests_.find(it.number);
    if (found == requests_.end() || found->second.granted ||
        found->second.dispatcher_host != from) {
        return;
    }
    skip_dispatchers_of(from, monotonic_now());
    send_to_dispatcher(it.number);
}

} // namespace quincewing
