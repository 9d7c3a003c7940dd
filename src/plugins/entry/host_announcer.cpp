#include "host_announcer.hpp"

#include "quincewing/base/hash.hpp"
#include "quincewing/deployment/host_record.hpp"
#include "quincewing/logging/event_log.hpp"

namespace quincewing {

namespace {

constexpr millis retry_pause{400};
// Until a host writes its record again, after the store came back older.
constexpr millis max_delay{1000};

} // namespace

host_announcer::host_announcer(host_context context, peers_task& peers)
    : context_(std::move(context)), peers_(peers), links_(context_.settings.cores)
{
}

void host_announcer::link_back(const peer_identity& visitor)
{
    if (!peers_.connected(visitor.host)) {
        links_.add(address_of(visitor.host), visitor.cores);
    }
}

// Registers before it looks for other hosts: of two hosts that start at the same time, at least one
// then finds the other, and its connection makes it known to the other.
void host_announcer::tick(instant now)
{
    peers_.connect_to(links_.take_due());
    if (call_pending_ || stopping_ || now < next_attempt_) {
        return;
    }
    if (!announced_) {
        announce();
    } else if (!peers_found_) {
        find_peers();
    }
}

// Not all hosts at once.
void host_announcer::on_store_era(instant now)
{
    announced_ = false;
    peers_found_ = false;
    const auto delay =
        stable_hash(context_.self.value) % static_cast<std::uint64_t>(max_delay.count());
    next_attempt_ = now + millis{static_cast<millis::rep>(delay)};
}

void host_announcer::announce()
{
    call_pending_ = true;
    const host_record own{.host = context_.self, .cores = context_.settings.cores};
    store_record record{.key = context_.settings.peers, .value = format_host_record(own)};
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
        // Unless the store came back older meanwhile.
        peers_found_ = announced_;
        std::size_t found = 0;
        for (const auto& it : page.records) {
            if (it.value && is_address(it.key)) {
                ++found;
                links_.add(it.key, parse_host_record(*it.value).cores);
            }
        }
        log_event("hosts_found", {{"hosts", found}, {"offset", page.end.value}});
        peers_.connect_to(links_.take_due());
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
