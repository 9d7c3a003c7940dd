#include "store_follower.hpp"

#include "quincewing/logging/event_log.hpp"

#include <algorithm>

namespace quincewing {

namespace {

// Follows from the time in which a leaving server must get no more work, less the way of the news.
constexpr millis servers_period{350};
// Hosts that read only until they hear a coordinator again are many.
constexpr millis servers_period_alone{700};
// How long one read waits for a new configuration; a connection that went silent is found out
// after this and the store's timeout.
constexpr millis configuration_wait{1500};
// Pause after the first read that failed, and the longest after several: when the coordinator is
// silent all hosts read, and a store in trouble must not get all of their retries.
constexpr millis read_again{300};
constexpr millis read_again_most{1200};

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

void store_follower::set_reading(reading_for it)
{
    const bool on = it != reading_for::nobody;
    servers_period_ = it == reading_for::all ? servers_period : servers_period_alone;
    if (on && !reading_) {
        next_servers_ = {};
        next_configuration_ = {};
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
    if (!servers_busy_ && now >= next_servers_) {
        read_servers();
    }
    if (!configuration_busy_ && now >= next_configuration_) {
        read_configuration();
    }
}

void store_follower::read_servers()
{
    servers_busy_ = true;
    const auto sent = monotonic_now();
    const bool newest = servers_newest_wanted_;
    auto done = [this, sent, newest](const store_page& page) { take_servers(sent, page, newest); };
    if (newest) {
        context_.platform.store.newest(store_stream::servers, done);
    } else {
        context_.platform.store.read(store_stream::servers, directory_.read_offset(), duration{0},
                                     done);
    }
}

void store_follower::take_servers(instant sent, const store_page& page, bool newest)
{
    servers_busy_ = false;
    note_store(page.status);
    const auto now = monotonic_now();
    if (page.status == store_status::dropped) {
        servers_newest_wanted_ = true;
        next_servers_ = now;
        return;
    }
    if (page.status != store_status::ok) {
        directory_.on_store_error(now);
        next_servers_ = now + pause_;
        return;
    }
    if (newest) {
        directory_.on_full_read(now, page.records, page.end);
        servers_newest_wanted_ = false;
    } else {
        directory_.on_records(now, page.records, page.end);
    }
    const bool behind = directory_.read_offset() < page.end && !page.records.empty();
    next_servers_ = behind ? now : sent + servers_period_;
    if (!behind) {
        servers_sent_ = sent;
    }
    publish_servers();
}

void store_follower::read_configuration()
{
    configuration_busy_ = true;
    const auto sent = monotonic_now();
    const bool newest = configuration_newest_wanted_;
    auto done = [this, sent, newest](const store_page& page) {
        take_configuration(sent, page, newest);
    };
    if (newest) {
        context_.platform.store.newest(store_stream::configuration, done);
    } else {
        context_.platform.store.read(store_stream::configuration, configuration_end_,
                                     configuration_wait, done);
    }
}

void store_follower::take_configuration(instant sent, const store_page& page, bool newest)
{
    configuration_busy_ = false;
    note_store(page.status);
    const auto now = monotonic_now();
    if (page.status == store_status::dropped) {
        configuration_newest_wanted_ = true;
        next_configuration_ = now;
        return;
    }
    if (page.status != store_status::ok) {
        next_configuration_ = now + pause_;
        return;
    }
    for (const auto& it : page.records) {
        if (context_.platform.is_configuration(it)) {
            apply_configuration(it);
        }
    }
    configuration_sent_ = newest ? sent : now;
    if (newest) {
        configuration_end_ = page.end;
        configuration_newest_wanted_ = false;
    } else if (!page.records.empty()) {
        configuration_end_ = log_offset{page.records.back().offset.value + 1};
    }
    next_configuration_ = configured() ? now : now + read_again;
}

void store_follower::apply_configuration(const store_record& record)
{
    auto next = context_.platform.decode_configuration(record);
    if (!next) {
        log_event("configuration_unreadable",
                  {{"offset", record.offset.value}, {"error", next.error()}});
        return;
    }
    const auto version = next->version.value;
    const auto routes = next->routes.size();
    if (!context_.view.apply_configuration(std::move(*next))) {
        return;
    }
    configuration_ = record;
    log_event("configuration",
              {{"version", version}, {"routes", routes}, {"offset", record.offset.value}});
    hooks_.on_configuration();
}

void store_follower::on_relayed_servers(const std::vector<backend_server>& servers, log_offset read,
                                        log_offset changed)
{
    if (directory_.on_relayed(servers, read, changed)) {
        // The next read of the own goes on from there.
        servers_newest_wanted_ = false;
        publish_servers();
    }
}

void store_follower::on_relayed_configuration(const store_record& record)
{
    apply_configuration(record);
}

void store_follower::publish_servers()
{
    if (!directory_.known() || (published_once_ && directory_.changed_offset() == published_)) {
        return;
    }
    published_once_ = true;
    published_ = directory_.changed_offset();
    const auto& before = context_.view.servers();
    for (const auto& [id, it] : directory_.servers()) {
        const auto old = before.find(id);
        if (old == before.end() || old->second.start != it.start ||
            old->second.draining != it.draining) {
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
    context_.view.apply_servers(directory_.servers());
    hooks_.on_servers();
}

void store_follower::note_store(store_status status)
{
    const bool reachable = status == store_status::ok || status == store_status::dropped;
    const auto longer = std::min<duration>(pause_ * 2, read_again_most);
    pause_ = reachable ? duration{read_again} : longer;
    if (reachable != store_reachable_) {
        store_reachable_ = reachable;
        log_event("dependency", {{"name", "store"},
                                 {"state", reachable ? "regained" : "lost"},
                                 {"last", to_string(status)}});
    }
}

} // namespace quincewing
