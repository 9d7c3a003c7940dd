#include "store_follower.hpp"

#include "quincewing/logging/event_log.hpp"

#include <algorithm>

namespace quincewing {

namespace {

// Part of the time within which a draining server must get no more requests; the rest is for
// telling the other hosts, and for a read that fails.
constexpr int servers_periods_per_drain = 6;
constexpr millis min_servers_period{350};
// Longer, because all hosts read while there is no coordinator.
constexpr millis servers_period_standalone{700};
// The pause before a retry is twice the base after the first failed read and doubles up to the
// maximum: without a coordinator all hosts read, and their retries must not overload the store.
constexpr millis base_retry_pause{300};
constexpr millis max_retry_pause{1200};

} // namespace

store_follower::store_follower(host_context context, store_follower_hooks hooks)
    : context_(std::move(context)), hooks_(std::move(hooks)),
      directory_({}, {.decode = context_.platform.decode_server,
                      .on_unreadable = [](const store_record& record, const std::string& error) {
                          log_event("server_unreadable", {{"server", record.key},
                                                          {"offset", record.offset.value},
                                                          {"error", error}});
                      }})
{
}

void store_follower::set_read_mode(read_mode mode)
{
    const bool on = mode != read_mode::off;
    const auto period = std::max<duration>(min_servers_period, context_.settings.bounds.drain /
                                                                   servers_periods_per_drain);
    servers_period_ = mode == read_mode::coordinator ? period : servers_period_standalone;
    if (on && !reading_) {
        next_servers_read_ = {};
    }
    reading_ = on;
}

void store_follower::tick(instant now)
{
    directory_.tick(now);
    publish_servers();
    if (!reading_) {
        return;
    }
    if (!servers_read_pending_ && now >= next_servers_read_) {
        read_servers();
    }
}

void store_follower::read_servers()
{
    servers_read_pending_ = true;
    const auto sent = monotonic_now();
    const bool snapshot = servers_snapshot_needed_;
    auto done = [this, sent, snapshot](const store_page& page) {
        on_servers_page(sent, page, snapshot);
    };
    if (snapshot) {
        context_.platform.store.newest(store_stream::servers, done);
    } else {
        context_.platform.store.read(store_stream::servers, directory_.read_offset(), duration{0},
                                     done);
    }
}

void store_follower::on_servers_page(instant sent, const store_page& page, bool snapshot)
{
    servers_read_pending_ = false;
    update_store_status(page.status);
    const auto now = monotonic_now();
    if (page.status == store_status::dropped) {
        servers_snapshot_needed_ = true;
        next_servers_read_ = now;
        return;
    }
    if (page.status != store_status::ok) {
        directory_.on_store_error(now);
        next_servers_read_ = now + retry_pause_;
        return;
    }
    if (snapshot) {
        directory_.on_full_read(now, page.records, page.end);
        servers_snapshot_needed_ = false;
    } else {
        directory_.on_records(now, page.records, page.end);
    }
    const bool behind = directory_.read_offset() < page.end && !page.records.empty();
    next_servers_read_ = behind ? now : sent + servers_period_;
    if (!behind) {
        servers_as_of_ = sent;
    }
    publish_servers();
}

void store_follower::on_relayed_servers(const std::vector<backend_server>& servers, log_offset read,
                                        log_offset changed)
{
    if (directory_.on_relayed(monotonic_now(), servers, read, changed)) {
        continue_from(read);
        publish_servers();
    }
}

void store_follower::confirm_servers(log_offset read)
{
    directory_.on_confirmed(read);
    continue_from(read);
}

// This host's next read continues from an offset that it was told, unless that host has not read
// the store yet.
void store_follower::continue_from(log_offset told)
{
    if (directory_.known() && told != log_offset{}) {
        servers_snapshot_needed_ = false;
    }
}

void store_follower::on_store_era(instant now)
{
    directory_.on_store_era(now);
    servers_snapshot_needed_ = true;
}

void store_follower::publish_servers()
{
    if (!directory_.known() ||
        (published_once_ && directory_.changed_offset() == published_offset_)) {
        return;
    }
    published_once_ = true;
    published_offset_ = directory_.changed_offset();
    const auto& before = context_.view.servers();
    for (const auto& [id, it] : directory_.servers()) {
        const auto previous = before.find(id);
        if (previous == before.end() || previous->second.start != it.start ||
            previous->second.draining != it.draining) {
            log_event("server", {{"server", id.value},
                                 {"start", it.start.value},
                                 {"service", it.service.value},
                                 {"address", it.address},
                                 {"state", it.draining ? "draining" : "ready"},
                                 {"offset", directory_.read_offset().value}});
        }
    }
    for (const auto& [id, it] : before) {
        if (!directory_.servers().contains(id)) {
            log_event("server", {{"server", id.value},
                                 {"state", "gone"},
                                 {"offset", directory_.read_offset().value}});
        }
    }
    context_.view.apply_servers(monotonic_now(), directory_.servers());
    hooks_.on_servers();
}

void store_follower::update_store_status(store_status status)
{
    const bool reachable = status == store_status::ok || status == store_status::dropped;
    const auto doubled = std::min<duration>(retry_pause_ * 2, max_retry_pause);
    retry_pause_ = reachable ? duration{base_retry_pause} : doubled;
    if (reachable != store_reachable_) {
        store_reachable_ = reachable;
        log_event("dependency", {{"name", "store"},
                                 {"state", reachable ? "regained" : "lost"},
                                 {"last", to_string(status)}});
    }
}

} // namespace quincewing
