#include "host_announcer.hpp"

#include "quincewing/logging/event_log.hpp"

#include <set>

namespace quincewing {

namespace {

constexpr millis try_again{400};

} // namespace

host_announcer::host_announcer(host_context context, peers_task& peers)
    : context_(std::move(context)), peers_(peers)
{
}

// The own record goes first: of two hosts that start together at least one then finds the other,
// and the connection that it opens tells the other.
void host_announcer::tick(instant now)
{
    if (busy_ || stopping_ || now < next_try_) {
        return;
    }
    if (!announced_) {
        announce();
    } else if (!found_) {
        find();
    }
}

void host_announcer::announce()
{
    busy_ = true;
    store_record record{.key = context_.settings.peers, .value = context_.self.value};
    context_.platform.store.append(store_stream::hosts, std::move(record), std::nullopt,
                                   [this](const store_append_result& answer) {
                                       busy_ = false;
                                       announced_ = answer.status == store_status::ok;
                                       next_try_ = announced_ ? monotonic_now()
                                                              : monotonic_now() + try_again;
                                       tick(monotonic_now());
                                   });
}

void host_announcer::find()
{
    busy_ = true;
    context_.platform.store.newest(store_stream::hosts, [this](const store_page& page) {
        busy_ = false;
        if (page.status != store_status::ok) {
            next_try_ = monotonic_now() + try_again;
            return;
        }
        found_ = true;
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
