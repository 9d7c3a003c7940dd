#include "coordination_task.hpp"

#include "quincewing/wire/told_beat.hpp"

#include <algorithm>

/// coordination_task: what hosts tell each other of the table, the servers and the configuration.
namespace quincewing {

namespace {

constexpr millis state_request_interval{150};
// A broadcast costs the coordinator link and CPU time for each host, so changes are batched for
// this long per connected host.
constexpr millis broadcast_interval_per_host{1};
// Routes that changed, beyond which hosts read the configuration from the store: told to each host
// by the coordinator, a large change would occupy its link for seconds.
constexpr std::size_t max_told_routes = 20;

std::uint64_t to_micros(duration it)
{
    return static_cast<std::uint64_t>(std::max<duration::rep>(it.count(), 0));
}

} // namespace

coordinator_beat coordination_task::current_versions(instant now) const
{
    return {.term = core_.table().term,
            .table_revision = core_.table().revision,
            .held_revision = held_revision_,
            .servers_read = follower_.directory().read_offset().value,
            .servers_changed = follower_.directory().changed_offset().value,
            .configuration = context_.view.routes().current().version.value,
            .table_age = to_micros(now - core_.last_read()),
            .servers_age = to_micros(follower_.servers_age(now)),
            .configuration_age = to_micros(now - context_.view.currency().in_force_at()),
            .configuration_offset = configuration_.offset().value,
            .era = core_.era(),
            .table_era = core_.table().era,
            .evacuations = context_.view.evacuations().state(now)};
}

void coordination_task::send_heartbeats(instant now)
{
    const auto beat = told_beat(current_versions(now), last_broadcast_);
    peers_.send_to_all(beat);
}

// Broadcasts a change at once unless the previous broadcast was too recent. A host that missed one
// sees that from the next heartbeat and requests the full state.
void coordination_task::broadcast_if_changed()
{
    const auto now = monotonic_now();
    if (!core_.coordinating() || now < next_broadcast_) {
        return;
    }
    const auto current = current_versions(now);
    const bool changed = !current.same_table(last_broadcast_) ||
                         current.held_revision != last_broadcast_.held_revision ||
                         current.servers_changed != last_broadcast_.servers_changed ||
                         current.configuration != last_broadcast_.configuration;
    if (!changed) {
        return;
    }
    next_broadcast_ =
        now + broadcast_interval_per_host * static_cast<int>(peers_.connected_hosts().size());
    broadcast_changes(current);
    last_broadcast_ = current;
    broadcast_table_ = core_.table();
    broadcast_servers_ = follower_.directory().servers();
    broadcast_held_ = held_;
}

void coordination_task::broadcast_changes(const coordinator_beat& current)
{
    coordinator_news it{.versions = current};
    const bool table_changed = !current.same_table(last_broadcast_);
    if (table_changed) {
        it.table_changes = diff_tables(broadcast_table_, core_.table());
    }
    const bool renewed = it.table_changes && it.table_changes->fences_after != 0;
    if (table_changed || current.held_revision != last_broadcast_.held_revision) {
        it.held = held_;
    }
    if (current.servers_changed != last_broadcast_.servers_changed) {
        it.servers_changes = difference(last_broadcast_.servers_changed, broadcast_servers_,
                                        follower_.directory().servers());
    }
    if (current.configuration != last_broadcast_.configuration) {
        auto changes = configuration_.latest_changes();
        if (changes.changed.size() + changes.removed.size() <= max_told_routes) {
            it.configuration_changes = std::move(changes);
        }
    }
    peers_.send_to_all(it, renewed ? renewal_spoken_version : first_spoken_version);
    if (renewed) {
        it.table_changes = diff_tables(broadcast_table_, core_.table(), renewal_form::each_range);
        peers_.send_to_older(it, renewal_spoken_version);
    }
}

// A host that names no version of what it has, as those of earlier builds, gets everything.
void coordination_task::send_state(const host_id& to, const news_request& known)
{
    coordinator_news it{.versions = told_beat(current_versions(monotonic_now()), last_broadcast_),
                        .held = broadcast_held_};
    const bool same_table = known.term == last_broadcast_.term &&
                            known.table_revision == last_broadcast_.table_revision &&
                            known.table_era == last_broadcast_.table_era;
    if (!same_table) {
        it.table = broadcast_table_;
    }
    if (known.servers_changed != last_broadcast_.servers_changed || known.servers_changed == 0) {
        it.servers.emplace();
        for (const auto& [id, server] : broadcast_servers_) {
            it.servers->push_back(server);
        }
    }
    peers_.send(to, it);
}

// A host that has just started reads the store too, and asks for what it lacks after that.
void coordination_task::on_host_connected(const peer_identity& host)
{
    if (!core_.coordinating()) {
        return;
    }
    broadcast_if_changed();
    if (host.speaks < renewal_spoken_version) {
        send_state(host.host, {});
    } else {
        peers_.send(host.host, told_beat(current_versions(monotonic_now()), last_broadcast_));
    }
}

// A coordinator that has not heard of the era that this host knows speaks for a table that the
// store may have lost.
bool coordination_task::outdated(const coordinator_beat& it)
{
    if (it.era > core_.era()) {
        hooks_.on_era_told(it.era);
    }
    const assignment_table told{
        .term = it.term, .revision = core_.table().revision, .era = it.table_era};
    const bool earlier_era = it.era != store_era{} && it.era < core_.era();
    return earlier_era || older(told, core_.table());
}

void coordination_task::on_message(const host_id& from, const coordinator_beat& it)
{
    const auto now = monotonic_now();
    if (outdated(it) || core_.coordinating()) {
        return;
    }
    const auto& table = core_.table();
    coordinator_host_ = from;
    last_message_at_ = now;
    const bool same_servers = it.servers_changed == follower_.directory().changed_offset().value;
    const bool behind =
        it.term != table.term || it.table_revision != table.revision || it.table_era != table.era ||
        it.held_revision != coordinator_versions_.held_revision ||
        follower_.directory().behind(log_offset{it.servers_read}, log_offset{it.servers_changed});
    note_told_configuration(now, it);
    if (same_servers) {
        follower_.confirm_servers(log_offset{it.servers_read});
    }
    const auto held_revision = coordinator_versions_.held_revision;
    coordinator_versions_ = it;
    coordinator_versions_.held_revision = held_revision;
    if (!behind) {
        core_.on_coordinator_heartbeat(now, table, duration{it.table_age});
    } else if (now >= next_state_request_) {
        next_state_request_ = now + state_request_interval;
        peers_.send(from,
                    news_request{.term = table.term,
                                 .table_revision = table.revision,
                                 .servers_changed = follower_.directory().changed_offset().value,
                                 .table_era = table.era});
    }
}

void coordination_task::on_message(const host_id& from, const news_request& it)
{
    if (core_.coordinating()) {
        broadcast_if_changed();
        send_state(from, it);
    }
}

void coordination_task::on_message(const host_id& from, const coordinator_news& it)
{
    const auto now = monotonic_now();
    if (outdated(it.versions)) {
        return;
    }
    apply_table_update(now, it);
    if (core_.coordinating()) {
        return;
    }
    coordinator_host_ = from;
    last_message_at_ = now;
    const auto held_revision = coordinator_versions_.held_revision;
    coordinator_versions_ = it.versions;
    publish_table(now);
    const bool same_table = it.versions.table_revision == core_.table().revision &&
                            it.versions.term == core_.table().term &&
                            it.versions.table_era == core_.table().era;
    if (it.held && same_table && it.held->size() == core_.table().ranges.size()) {
        held_ = *it.held;
        for (std::size_t i = 0; i < held_.size(); ++i) {
            if (held_[i] != 0) {
                core_.note_released(core_.table().ranges[i]);
            }
        }
        context_.view.apply_table(core_.table(), held_);
        hooks_.on_assignment_change();
    } else if (it.held) {
        // The revision stays behind, so the next heartbeat makes this host request the full state.
        coordinator_versions_.held_revision = held_revision;
    }
    apply_servers_update(it);
    if (it.configuration_changes) {
        configuration_.on_changes(*it.configuration_changes,
                                  told_offset(it.versions.era, it.versions.configuration_offset));
    }
    note_told_configuration(now, it.versions);
}

// An offset of another era says nothing.
log_offset coordination_task::told_offset(store_era era, std::uint64_t offset) const
{
    return era == core_.era() ? log_offset{offset} : log_offset{};
}

void coordination_task::note_told_evacuations(instant now, store_era era,
                                              const evacuation_state& told, std::uint64_t age)
{
    if (era != core_.era()) {
        return;
    }
    context_.view.evacuations().on_told(now, told);
    // Hosts of earlier builds tell no offset, as do those that have not read in this era.
    if (told.read != 0 && age != unknown_age) {
        configuration_.on_orders_told(now - duration{age});
    }
}

void coordination_task::note_told_configuration(instant now, const coordinator_beat& it)
{
    note_told_evacuations(now, it.era, it.evacuations, it.configuration_age);
    if (it.configuration != 0 && it.configuration_age != unknown_age) {
        configuration_.on_told(config_version{it.configuration},
                               told_offset(it.era, it.configuration_offset),
                               now - duration{it.configuration_age});
    }
}

// The whole configuration goes to one host at a time, and only while that host has no other way to
// it: see max_told_routes.
void coordination_task::ask_for_configuration()
{
    const auto& hosts = peers_.connected_hosts();
    if (hosts.empty()) {
        return;
    }
    std::uniform_int_distribution<std::size_t> any{0, hosts.size() - 1};
    peers_.send(hosts[any(random_)],
                configuration_request{.version = context_.view.routes().current().version});
}

void coordination_task::on_message(const host_id& from, const configuration_request& it)
{
    const auto& current = context_.view.routes().current();
    const auto in_force_at = context_.view.currency().in_force_at();
    if (current.version == config_version{} || in_force_at == instant{}) {
        return;
    }
    configuration_reply reply{.version = current.version,
                              .offset = configuration_.offset().value,
                              .age = to_micros(monotonic_now() - in_force_at),
                              .era = core_.era(),
                              .evacuations = context_.view.evacuations().state(monotonic_now())};
    if (it.version < current.version) {
        reply.whole = difference(configuration{}, current);
    }
    peers_.send(from, reply);
}

void coordination_task::on_message(const host_id&, const configuration_reply& it)
{
    const auto offset = told_offset(it.era, it.offset);
    note_told_evacuations(monotonic_now(), it.era, it.evacuations, it.age);
    if (it.whole) {
        configuration_.on_changes(*it.whole, offset);
    }
    configuration_.on_told(it.version, offset, monotonic_now() - duration{it.age});
}

// Ignores changes against a base that this host does not have; the next heartbeat then makes it
// request the full state.
void coordination_task::apply_table_update(instant now, const coordinator_news& it)
{
    auto table = it.table;
    if (!table && it.table_changes) {
        table = apply_table_change(core_.table(), *it.table_changes);
    }
    if (table) {
        core_.on_coordinator_heartbeat(now, *table, duration{it.versions.table_age});
        execute_effects();
    }
}

void coordination_task::apply_servers_update(const coordinator_news& it)
{
    const auto& own = follower_.directory();
    auto servers = it.servers;
    const bool applicable = own.relayed() && it.servers_changes &&
                            it.servers_changes->from == own.changed_offset().value;
    if (!servers && applicable) {
        servers = apply_server_changes(own.servers(), *it.servers_changes);
    }
    if (servers) {
        follower_.on_relayed_servers(*servers, log_offset{it.versions.servers_read},
                                     log_offset{it.versions.servers_changed});
    }
}

} // namespace quincewing
