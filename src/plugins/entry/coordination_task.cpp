#include "coordination_task.hpp"

#include "quincewing/base/hash.hpp"
#include "quincewing/logging/event_log.hpp"
#include "quincewing/wire/told_beat.hpp"

#include <algorithm>
#include <variant>

namespace quincewing {

namespace {

constexpr millis beat_period{250};
constexpr millis report_period{250};
constexpr seconds balance_log_period{1};
// Beats that may be missing until this host reads the store by itself.
constexpr millis beat_silence{700};
// Knowledge of the coordinator that is older is no reason to read less.
constexpr millis servers_too_old{1600};
constexpr millis configuration_too_old{4000};
constexpr millis request_pause{150};
// What one host costs the coordinator's link and processor; changes are gathered for as long.
constexpr millis spread_pause_for_host{1};
// The one record of the assignment stream.
constexpr const char* table_key = "table";

std::string keys_text(const key_range& it)
{
    return std::to_string(it.first) + "-" + std::to_string(it.last);
}

std::uint64_t micros(duration it)
{
    return static_cast<std::uint64_t>(std::max<duration::rep>(it.count(), 0));
}

append_outcome outcome_of(store_status it)
{
    switch (it) {
    case store_status::ok:
        return append_outcome::appended;
    case store_status::conflict:
        return append_outcome::conflict;
    case store_status::not_done:
        return append_outcome::not_done;
    default:
        return append_outcome::unknown;
    }
}

coordinator_hooks make_log_hooks()
{
    return {.on_term =
                [](const char* what, const assignment_table& table) {
                    log_event("term", {{"what", what},
                                       {"term", table.term},
                                       {"revision", table.revision},
                                       {"coordinator", table.coordinator.value}});
                },
            .on_moving =
                [](const assigned_range& it) {
                    log_event("keys_moving", {{"service", it.service.value},
                                              {"keys", keys_text(it.keys)},
                                              {"from", it.previous.id.value},
                                              {"to", it.owner.id.value},
                                              {"fence", it.fence}});
                },
            .on_proved =
                [](const assigned_range& it, bool with_handoff) {
                    log_event("keys_released", {{"keys", keys_text(it.keys)},
                                                {"from", it.previous.id.value},
                                                {"fence", it.fence},
                                                {"proof", with_handoff ? "handoff" : "none"}});
                },
            .on_fenced =
                [](const assigned_range& it) {
                    log_event("grant_fenced", {{"keys", keys_text(it.keys)},
                                               {"server", it.owner.id.value},
                                               {"fence", it.fence}});
                }};
}

} // namespace

coordination_task::coordination_task(host_context context, peers_task& peers,
                                     store_follower& follower, coordination_hooks hooks)
    : context_(std::move(context)), peers_(peers), follower_(follower), hooks_(std::move(hooks)),
      core_({.self = context_.self,
             .hold_in_doubt = context_.settings.bounds.longest_hold,
             .hold_most = context_.settings.bounds.longest_hold},
            make_log_hooks())
{
}

void coordination_task::tick(instant now)
{
    core_.set_rank(rank());
    core_.tick(now);
    carry_out();
    publish_table(now);
    if (core_.coordinating()) {
        refresh_held(now);
        spread_changes();
        if (now >= next_beat_) {
            next_beat_ = now + beat_period;
            send_beats(now);
        }
    }
    log_balance(now);
    if (now >= next_report_) {
        next_report_ = now + report_period;
        send_report();
    }
    const bool hears = core_.coordinating() || hears_coordinator(now);
    if (hears != hears_) {
        hears_ = hears;
        log_event("dependency", {{"name", "coordinator"},
                                 {"host", heard_from_.value},
                                 {"state", hears ? "regained" : "lost"},
                                 {"silent", now - heard_at_},
                                 {"servers_age", duration{heard_.servers_age}},
                                 {"configuration_age", duration{heard_.configuration_age}}});
    }
    const auto alone = hears ? reading_for::nobody : reading_for::itself;
    follower_.set_reading(core_.coordinating() ? reading_for::all : alone);
}

void coordination_task::stop(instant now)
{
    core_.stop(now);
    carry_out();
}

bool coordination_task::hears_coordinator(instant now) const
{
    const auto since = now - heard_at_;
    return since < beat_silence && duration{heard_.servers_age} + since < servers_too_old &&
           duration{heard_.configuration_age} + since < configuration_too_old;
}

std::size_t coordination_task::rank() const
{
    const auto own = stable_hash(context_.self.value);
    const auto hosts = peers_.connected_hosts();
    return static_cast<std::size_t>(std::count_if(
        hosts.begin(), hosts.end(), [&](const auto& it) { return stable_hash(it.value) < own; }));
}

void coordination_task::on_servers_or_configuration(instant now)
{
    core_.set_servers(now, context_.view.servers(), context_.view.keyed_services());
}

// ---- effects

void coordination_task::carry_out()
{
    auto effects = core_.take_effects();
    while (!effects.empty()) {
        for (const auto& it : effects) {
            std::visit([this](const auto& effect) { carry_out(effect); }, it);
        }
        effects = core_.take_effects();
    }
}

void coordination_task::carry_out(const read_table&)
{
    const auto sent = monotonic_now();
    context_.platform.store.newest(store_stream::assignment, [this, sent](const store_page& page) {
        const auto now = monotonic_now();
        if (page.status != store_status::ok) {
            core_.on_table_unreadable(now);
            return;
        }
        std::optional<assignment_table> table;
        for (const auto& it : page.records) {
            if (it.key != table_key || !it.value) {
                continue;
            }
            if (auto decoded = decode_table(*it.value)) {
                table = std::move(*decoded);
            } else {
                log_event("table_unreadable",
                          {{"offset", it.offset.value}, {"error", decoded.error()}});
                core_.on_table_unreadable(now);
                return;
            }
        }
        core_.on_table_read(sent, now, std::move(table), page.end);
        carry_out();
        publish_table(now);
    });
}

void coordination_task::carry_out(const append_table& it)
{
    store_record record{.key = table_key, .value = it.data};
    context_.platform.store.append(store_stream::assignment, std::move(record), it.at,
                                   [this](const store_append_result& answer) {
                                       const auto now = monotonic_now();
                                       core_.on_append(now, outcome_of(answer.status));
                                       core_.tick(now);
                                       carry_out();
                                       publish_table(now);
                                       if (core_.coordinating()) {
                                           refresh_held(now);
                                           spread_changes();
                                       }
                                   });
}

void coordination_task::carry_out(const grant_keys& it)
{
    context_.platform.keys.grant(
        it, [this, it](call_outcome outcome, connection_number connection) {
            const auto now = monotonic_now();
            if (outcome != call_outcome::accepted) {
                log_event("grant_failed", {{"server", it.holder.id.value},
                                           {"keys", keys_text(it.keys)},
                                           {"fence", it.fence},
                                           {"outcome", static_cast<int>(outcome)}});
            }
            core_.on_call(now, it.number, outcome, "", connection);
            refresh_held(now);
            spread_changes();
        });
}

void coordination_task::carry_out(const release_keys& it)
{
    context_.platform.keys.release(it, [this, it](call_outcome outcome, std::string handoff) {
        const auto now = monotonic_now();
        if (outcome != call_outcome::accepted) {
            log_event("release_failed", {{"server", it.holder.id.value},
                                         {"keys", keys_text(it.keys)},
                                         {"fence", it.fence},
                                         {"outcome", static_cast<int>(outcome)}});
        }
        core_.on_call(now, it.number, outcome, std::move(handoff), {});
        carry_out();
    });
}

// ---- what this host believes

void coordination_task::publish_table(instant now)
{
    const auto& table = core_.table();
    const bool same = published_term_ == table.term && published_table_ == table.revision;
    if (same) {
        return;
    }
    published_term_ = table.term;
    published_table_ = table.revision;
    held_.assign(table.ranges.size(), 1);
    if (core_.coordinating()) {
        refresh_held(now);
    }
    context_.view.apply_table(table, held_);
    hooks_.on_table();
}

void coordination_task::refresh_held(instant now)
{
    if (!core_.coordinating()) {
        return;
    }
    const auto& table = core_.table();
    std::vector<std::uint8_t> next;
    next.reserve(table.ranges.size());
    for (const auto& it : table.ranges) {
        next.push_back(core_.held(now, it) ? 1 : 0);
    }
    if (next == held_ && published_table_ == table.revision) {
        return;
    }
    held_ = std::move(next);
    ++held_revision_;
    context_.view.apply_table(table, held_);
    hooks_.on_table();
}

// ---- to other hosts

coordinator_beat coordination_task::versions(instant now) const
{
    return {.term = core_.table().term,
            .table_revision = core_.table().revision,
            .held_revision = held_revision_,
            .servers_read = follower_.directory().read_offset().value,
            .servers_changed = follower_.directory().changed_offset().value,
            .configuration = context_.view.routes().current().version.value,
            .table_age = micros(now - core_.last_read()),
            .servers_age = micros(follower_.servers_age(now)),
            .configuration_age = micros(follower_.configuration_age(now))};
}

void coordination_task::send_beats(instant now)
{
    const auto beat = told_beat(versions(now), spread_);
    for (const auto& host : peers_.connected_hosts()) {
        peers_.send(host, beat);
    }
}

// Hosts hear of a change at once, unless the one before has hardly gone out to all of them; a host
// that missed one asks when a beat shows it.
void coordination_task::spread_changes()
{
    const auto at = monotonic_now();
    if (!core_.coordinating() || at < next_spread_) {
        return;
    }
    const auto now = versions(at);
    const bool changed = now.term != spread_.term || now.table_revision != spread_.table_revision ||
                         now.held_revision != spread_.held_revision ||
                         now.servers_changed != spread_.servers_changed ||
                         now.configuration != spread_.configuration;
    if (!changed) {
        return;
    }
    next_spread_ = at + spread_pause_for_host * static_cast<int>(peers_.connected_hosts().size());
    send_changes(now);
    spread_ = now;
    spread_table_ = core_.table();
    spread_servers_ = follower_.directory().servers();
    spread_held_ = held_;
}

void coordination_task::send_changes(const coordinator_beat& now)
{
    coordinator_news it{.versions = now};
    const bool table = now.term != spread_.term || now.table_revision != spread_.table_revision;
    if (table) {
        it.table_changes = difference(spread_table_, core_.table());
    }
    if (table || now.held_revision != spread_.held_revision) {
        it.held = held_;
    }
    if (now.servers_changed != spread_.servers_changed) {
        it.servers_changes =
            difference(spread_.servers_changed, spread_servers_, follower_.directory().servers());
    }
    const auto& record = follower_.configuration_record();
    if (record.value && now.configuration != spread_.configuration) {
        it.configuration = record.value;
        it.configuration_key = record.key;
    }
    for (const auto& host : peers_.connected_hosts()) {
        peers_.send(host, it);
    }
}

void coordination_task::send_all(const host_id& to)
{
    coordinator_news it{.versions = told_beat(versions(monotonic_now()), spread_),
                        .table = spread_table_,
                        .held = spread_held_,
                        .servers = std::vector<backend_server>{}};
    for (const auto& [id, server] : spread_servers_) {
        it.servers->push_back(server);
    }
    if (const auto& record = follower_.configuration_record(); record.value) {
        it.configuration = record.value;
        it.configuration_key = record.key;
    }
    peers_.send(to, it);
}

void coordination_task::on_host_connected(const host_id& host)
{
    if (core_.coordinating()) {
        spread_changes();
        send_all(host);
    }
}

void coordination_task::on_message(const host_id& from, const coordinator_beat& it)
{
    const auto now = monotonic_now();
    const auto& table = core_.table();
    if (it.term < table.term || core_.coordinating()) {
        return;
    }
    heard_from_ = from;
    heard_at_ = now;
    const bool same_servers = it.servers_changed == follower_.directory().changed_offset().value;
    const bool behind =
        it.term != table.term || it.table_revision != table.revision ||
        it.held_revision != heard_.held_revision ||
        follower_.directory().behind(log_offset{it.servers_read}, log_offset{it.servers_changed}) ||
        it.configuration > context_.view.routes().current().version.value;
    if (same_servers) {
        follower_.confirm_servers(log_offset{it.servers_read});
    }
    const auto held = heard_.held_revision;
    heard_ = it;
    heard_.held_revision = held;
    if (!behind) {
        core_.on_sign_of_coordinator(now, table, duration{it.table_age});
    } else if (now >= next_request_) {
        next_request_ = now + request_pause;
        peers_.send(from, news_request{.term = it.term});
    }
}

void coordination_task::on_message(const host_id& from, const news_request&)
{
    if (core_.coordinating()) {
        spread_changes();
        send_all(from);
    }
}

void coordination_task::on_message(const host_id& from, const coordinator_news& it)
{
    const auto now = monotonic_now();
    if (it.versions.term < core_.table().term) {
        return;
    }
    take_table(now, it);
    if (core_.coordinating()) {
        return;
    }
    heard_from_ = from;
    heard_at_ = now;
    const auto held = heard_.held_revision;
    heard_ = it.versions;
    publish_table(now);
    const bool same_table = it.versions.table_revision == core_.table().revision &&
                            it.versions.term == core_.table().term;
    if (it.held && same_table && it.held->size() == core_.table().ranges.size()) {
        held_ = *it.held;
        for (std::size_t i = 0; i < held_.size(); ++i) {
            if (held_[i] != 0) {
                core_.note_proved(core_.table().ranges[i]);
            }
        }
        context_.view.apply_table(core_.table(), held_);
        hooks_.on_table();
    } else if (it.held) {
        // The next beat shows that this was missed.
        heard_.held_revision = held;
    }
    take_servers(it);
    if (it.configuration) {
        follower_.on_relayed_configuration(
            {.key = it.configuration_key, .value = it.configuration});
    }
}

// Changes against a state that this host does not have are left; the next beat makes it ask.
void coordination_task::take_table(instant now, const coordinator_news& it)
{
    auto table = it.table;
    if (!table && it.table_changes) {
        table = changed_table(core_.table(), *it.table_changes);
    }
    if (table) {
        core_.on_sign_of_coordinator(now, *table, duration{it.versions.table_age});
        carry_out();
    }
}

void coordination_task::take_servers(const coordinator_news& it)
{
    const auto& own = follower_.directory();
    auto servers = it.servers;
    const bool fits = own.relayed() && it.servers_changes &&
                      it.servers_changes->from == own.changed_offset().value;
    if (!servers && fits) {
        servers = apply_server_changes(own.servers(), *it.servers_changes);
    }
    if (servers) {
        follower_.on_relayed_servers(*servers, log_offset{it.versions.servers_read},
                                     log_offset{it.versions.servers_changed});
    }
}

// ---- load

void coordination_task::note_request(const service_id& service, key_number key)
{
    ++requests_[{service, key}];
}

void coordination_task::note_work(const server_id& server, duration took)
{
    auto& sum = work_[server];
    sum.us += micros(took);
    ++sum.n;
}

void coordination_task::log_balance(instant now)
{
    if (!core_.coordinating() || now < next_balance_log_) {
        return;
    }
    next_balance_log_ = now + balance_log_period;
    for (const auto& service : context_.view.keyed_services()) {
        const auto servers = core_.busy(service);
        if (servers.empty()) {
            continue;
        }
        const auto percent = [](double it) { return static_cast<int>(it * 100); };
        log_event("balance", {{"service", service.value},
                              {"busiest", servers.front().server.value},
                              {"busiest_percent", percent(servers.front().busy)},
                              {"median_percent", percent(servers[servers.size() / 2].busy)},
                              {"least_percent", percent(servers.back().busy)},
                              {"ranges", core_.table().ranges.size()}});
    }
}

void coordination_task::send_report()
{
    if (requests_.empty() && work_.empty()) {
        return;
    }
    load_report out;
    for (const auto& [key, n] : requests_) {
        out.keys.push_back({.service = key.first, .key = key.second, .requests = n});
    }
    for (const auto& [server, sum] : work_) {
        out.servers.push_back({.server = server, .work = sum.us / sum.n});
    }
    requests_.clear();
    work_.clear();
    if (core_.coordinating()) {
        on_message(context_.self, out);
    } else if (!heard_from_.value.empty()) {
        peers_.send(heard_from_, out);
    }
}

void coordination_task::on_message(const host_id&, const load_report& it)
{
    const auto now = monotonic_now();
    for (const auto& key : it.keys) {
        core_.load().add(key.service, key.key, key.requests, now);
    }
    for (const auto& server : it.servers) {
        core_.load().add_work(server.server, duration{server.work});
    }
}

} // namespace quincewing
