#include "host_announcer.hpp"

#include "quincewing/logging/event_log.hpp"

#include <set>

namespace quincewing {

namespace {

constexpr millis retry_pause{400};

} // namespace

host_announcer::host_announcer(host_context context, peers_task& peers)
    : context_(std::move(context)), peers_(peers)
{
}

// Registers before it looks for other hosts: of two hosts that start at the same time, at least one
// then finds the other, and its connection makes it known to the other.
void host_announcer::tick(instant now)
{
    if (call_pending_ || stopping_ || now < next_attempt_) {
        return;
    }
    if (!announced_) {
        announce();
    } else if (!peers_found_) {
        find_peers();
    }
}

void host_announcer::announce()
{
    call_pending_ = true;
    store_record record{.key = context_.settings.peers, .value = context_.self.value};
    context_.platform.store.append(store_stream::hosts, std::move(record), std::nullopt,
                                   [this](const store_append_result& result) {
                                       call_pending_ = false;
                                       announced_ = result.status == store_status::ok;
                                       next_attempt_ = announced_ ? monotonic_now()
                                                                  : monotonic_now() + retry_pause;
                                       tick(monotonic_now());
                                   });
}

void host_announcer::find_peers()
{
    call_pending_ = true;
    context_.platform.store.newest(store_stream::hosts, [this](const store_page& page) {
        call_pending_ = false;
        if (page.status != store_status::ok) {
            next_attempt_ = monotonic_now() + retry_pause;
            return;
        }
        peers_found_ = true;
        std::set<std::string> addresses;
        for (const auto& it : page.records) {
            if (it.value && is_address(it.key)) {
                addresses.insert(it.key);
            }
        }
        log_event("hosts_found", {{"hosts", addresses.size()}, {"offset", page.end.value}});
        peers_.connect_to(addresses);
    });
}

void host_announcer::stop(std::function<void()> done)
{
    stopping_ = true;
    context_.platform.store.append(
        store_stream::hosts, {.key = context_.settings.peers}, std::nullopt,
        [done = std::move(done)](const store_append_result&) { done(); });
}

} // namespace quincewing
