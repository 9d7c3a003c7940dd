#include "coordination_task.hpp"

#include "quincewing/logging/event_log.hpp"

#include <variant>

/// coordination_task: what the coordinator decided is stored, sent and logged.
namespace quincewing {

namespace {

constexpr seconds balance_log_period{1};
// Key of the only record in the assignment stream.
constexpr const char* table_key = "table";

append_outcome to_append_outcome(store_status it)
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

} // namespace

void coordination_task::execute_effects()
{
    auto effects = core_.take_effects();
    while (!effects.empty()) {
        for (const auto& it : effects) {
            std::visit([this](const auto& effect) { execute(effect); }, it);
        }
        effects = core_.take_effects();
    }
}

void coordination_task::execute(const read_table&)
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
        execute_effects();
        publish_table(now);
    });
}

void coordination_task::execute(const append_table& it)
{
    store_record record{.key = table_key, .value = it.data};
    context_.platform.store.append(store_stream::assignment, std::move(record), it.at,
                                   [this, number = it.number](const store_append_result& result) {
                                       const auto now = monotonic_now();
                                       core_.on_append(now, number,
                                                       to_append_outcome(result.status));
                                       tell_if_given_up(standing_aside_);
                                       core_.tick(now);
                                       execute_effects();
                                       publish_table(now);
                                       if (core_.coordinating()) {
                                           refresh_held(now);
                                           broadcast_if_changed();
                                       }
                                   });
}

void coordination_task::execute(const grant_keys& it)
{
    const auto begun_at = monotonic_now();
    context_.platform.keys.grant(it, [this, it, begun_at](const key_call_result& result) {
        const auto now = monotonic_now();
        key_calls_.add(to_string(result.outcome));
        hooks_.on_key_call(it.holder, begun_at, result.way);
        if (result.outcome != call_outcome::accepted) {
            log_event("grant_failed", {{"server", it.holder.id.value},
                                       {"keys", to_string(it.keys)},
                                       {"fence", it.fence},
                                       {"outcome", to_string(result.outcome)}});
        }
        tell_notice(it.holder, result);
        core_.on_call(now, it.number, result.outcome, "", result.connection);
        if (std::exchange(newly_held_, false)) {
            refresh_held(now);
            broadcast_if_changed();
        }
    });
}

void coordination_task::execute(const release_keys& it)
{
    const auto begun_at = monotonic_now();
    context_.platform.keys.release(it, [this, it, begun_at](const key_call_result& result) {
        const auto now = monotonic_now();
        key_calls_.add(to_string(result.outcome));
        hooks_.on_key_call(it.holder, begun_at, result.way);
        if (result.outcome != call_outcome::accepted) {
            log_event("release_failed", {{"server", it.holder.id.value},
                                         {"keys", to_string(it.keys)},
                                         {"fence", it.fence},
                                         {"outcome", to_string(result.outcome)}});
        }
        tell_notice(it.holder, result);
        core_.on_call(now, it.number, result.outcome, result.handoff, result.connection);
        execute_effects();
    });
}

void coordination_task::execute(const identify_server& it)
{
    const auto begun_at = monotonic_now();
    const auto done = [this, it, begun_at](const key_call_result& result) {
        const auto now = monotonic_now();
        identifications_.add(to_string(result.outcome));
        hooks_.on_key_call(it.holder, begun_at, result.way);
        if (result.outcome != call_outcome::accepted) {
            log_event("identification_failed", {{"server", it.holder.id.value},
                                                {"address", it.holder.address},
                                                {"outcome", to_string(result.outcome)}});
        }
        tell_notice(it.holder, result);
        core_.on_call(now, it.number, result.outcome, "", result.connection);
        execute_effects();
    };
    context_.platform.keys.identify(it, health_check_of(it.service), done);
}

std::string coordination_task::health_check_of(const service_id& service) const
{
    const auto& services = context_.view.routes().current().services;
    const auto found = services.find(service);
    return found == services.end() ? default_health_check : found->second.health_check;
}

// Whoever has the address answers a call; only the process that holds the keys accepts it. An
// answer that does not name a limit ends none: it is no answer to a request.
void coordination_task::tell_notice(const key_holder& to, const key_call_result& result)
{
    const auto found = context_.view.servers().find(to.id);
    if (result.outcome != call_outcome::accepted || found == context_.view.servers().end() ||
        found->second.start != to.start) {
        return;
    }
    hooks_.on_notice(found->second, result.notice);
}

void coordination_task::publish_table(instant now)
{
    const auto& table = core_.table();
    const bool published = published_term_ == table.term && published_revision_ == table.revision &&
                           published_era_ == table.era;
    if (published) {
        return;
    }
    published_term_ = table.term;
    published_revision_ = table.revision;
    published_era_ = table.era;
    note_broadcast_base();
    // All grants count as in force until the coordinator says otherwise.
    held_.assign(table.ranges.size(), 1);
    if (core_.coordinating()) {
        refresh_held(now);
    }
    context_.view.apply_table(table, held_);
    hooks_.on_assignment_change();
}

// The first changes that a new coordinator tells are those against the last table of the previous
// one, which the others have too.
void coordination_task::note_broadcast_base()
{
    const bool begins = core_.coordinating() && !broadcasting_;
    broadcasting_ = core_.coordinating();
    if (!broadcasting_) {
        broadcast_table_ = core_.table();
    }
    if (begins) {
        const auto& directory = follower_.directory();
        last_broadcast_ = {.term = broadcast_table_.term,
                           .table_revision = broadcast_table_.revision,
                           .servers_read = directory.read_offset().value,
                           .servers_changed = directory.changed_offset().value,
                           .era = core_.era(),
                           .table_era = broadcast_table_.era};
        broadcast_servers_ = directory.servers();
    }
}

void coordination_task::log_balance(instant now)
{
    if (!core_.coordinating() || now < next_balance_log_) {
        return;
    }
    next_balance_log_ = now + balance_log_period;
    key_calls_.log();
    identifications_.log();
    for (const auto& service : context_.view.keyed_services()) {
        const auto utilizations = core_.server_utilizations(service);
        if (utilizations.empty()) {
            continue;
        }
        const auto percent = [](double it) { return static_cast<int>(it * 100); };
        const auto& load = core_.load();
        const auto hottest = load.hottest_key(service, {0, key_count - 1}).value_or(0);
        const auto rate = load.rate(service, {0, key_count - 1});
        const auto hottest_rate = load.rate(service, {hottest, hottest});
        log_event("balance",
                  {{"service", service.value},
                   {"busiest", utilizations.front().server.value},
                   {"busiest_percent", percent(utilizations.front().utilization)},
                   {"median_percent", percent(utilizations[utilizations.size() / 2].utilization)},
                   {"least_percent", percent(utilizations.back().utilization)},
                   {"ranges", core_.table().ranges.size()},
                   {"per_second", percent(rate) / 100},
                   {"hottest_key", std::uint64_t{hottest}},
                   {"hottest_per_second", percent(hottest_rate) / 100}});
    }
}

} // namespace quincewing
