#include "coordination_task.hpp"

#include "quincewing/base/hash.hpp"
#include "quincewing/logging/event_log.hpp"

#include <algorithm>

namespace quincewing {

namespace {

constexpr millis heartbeat_period{250};
// The coordinator reads one report of each host in this time, or in this much for each host.
constexpr millis min_load_report_period{250};
constexpr millis load_report_period_per_host{2};
// A host that gave up its term to a stronger one, and has it again, keeps it for this long: the
// stronger one may not reach the store.
constexpr seconds yield_interval{60};
// Without messages from the coordinator for this long, a host reads the servers itself, once what
// it knows of them is older than a part of the time within which a leaving one must be known.
constexpr millis heartbeat_timeout{700};
constexpr int silent_ages_per_drain = 2;
// The same, messages or not.
constexpr millis max_servers_age{1600};
coordinator_hooks make_hooks(std::function<void(const assigned_range&)> on_held)
{
    return {.on_term_change =
                [](const char* what, const assignment_table& table) {
                    log_event("term", {{"what", what},
                                       {"term", table.term},
                                       {"revision", table.revision},
                                       {"coordinator", table.coordinator.value}});
                },
            .on_move_started =
                [](const assigned_range& it) {
                    log_event("keys_moving", {{"service", it.service.value},
                                              {"keys", to_string(it.keys)},
                                              {"from", it.previous_owner.id.value},
                                              {"to", it.owner.id.value},
                                              {"fence", it.fence}});
                },
            .on_released =
                [](const assigned_range& it, release_proof proof) {
                    log_event("keys_released", {{"keys", to_string(it.keys)},
                                                {"from", it.previous_owner.id.value},
                                                {"fence", it.fence},
                                                {"proof", to_string(proof)}});
                },
            .on_grant_fenced =
                [](const assigned_range& it) {
                    log_event("grant_fenced", {{"keys", to_string(it.keys)},
                                               {"server", it.owner.id.value},
                                               {"fence", it.fence}});
                },
            .on_held = std::move(on_held)};
}

} // namespace

coordination_task::coordination_task(host_context context, peers_task& peers,
                                     store_follower& follower,
                                     configuration_follower& configuration,
                                     coordination_hooks hooks)
    : context_(std::move(context)), peers_(peers), follower_(follower),
      configuration_(configuration), hooks_(std::move(hooks)),
      core_({.self = context_.self,
             .degraded_grant_validity = context_.settings.bounds.longest_hold,
             .max_grant_validity = context_.settings.bounds.longest_hold,
             .takeover_start_delay = takeover_start_delay(context_.settings.cores),
             .first_start = context_.settings.first_start},
            make_hooks([this](const assigned_range&) { newly_held_ = true; })),
      random_(static_cast<std::uint32_t>(stable_hash(context_.self.value)))
{
}

void coordination_task::tick(instant now)
{
    update_takeover_order();
    if (core_.coordinating() && context_.view.any_cold()) {
        on_limits();
    }
    core_.tick(now);
    execute_effects();
    publish_table(now);
    if (core_.coordinating()) {
        refresh_held(now);
        broadcast_if_changed();
        if (now >= next_heartbeat_) {
            next_heartbeat_ = now + heartbeat_period;
            send_heartbeats(now);
        }
    }
    log_balance(now);
    if (now >= next_load_report_) {
        const auto per_host =
            load_report_period_per_host * static_cast<int>(peers_.connected_hosts().size());
        next_load_report_ = now + std::max(min_load_report_period, per_host);
        send_load_report();
    }
    const bool fresh = core_.coordinating() || has_fresh_coordinator(now);
    if (fresh != coordinator_fresh_) {
        coordinator_fresh_ = fresh;
        log_event("dependency", {{"name", "coordinator"},
                                 {"host", coordinator_host_.value},
                                 {"state", fresh ? "regained" : "lost"},
                                 {"silent", now - last_message_at_},
                                 {"servers_age", duration{coordinator_versions_.servers_age}}});
    }
    const auto follower_mode = fresh ? read_mode::off : read_mode::standalone;
    follower_.set_read_mode(core_.coordinating() ? read_mode::coordinator : follower_mode);
    configuration_.set_watching(core_.coordinating());
}

void coordination_task::stop(instant now)
{
    core_.stop(now);
    execute_effects();
}

coordinator_role coordination_task::role(instant now) const
{
    if (core_.coordinating()) {
        return coordinator_role::coordinator;
    }
    return core_.next_to_coordinate(now) ? coordinator_role::candidate : coordinator_role::none;
}

void coordination_task::set_standing_aside(bool on)
{
    standing_aside_ = on;
    core_.set_standing_aside(on);
}

// The others need not wait until they take this host to be silent.
void coordination_task::tell_if_given_up(bool coordinated)
{
    const bool gave_up =
        coordinated && !core_.coordinating() && core_.table().coordinator.value.empty();
    if (!gave_up) {
        return;
    }
    peers_.send_to_all(term_given_up{.term = core_.table().term});
    if (stronger_linked_) {
        may_yield_after_ = monotonic_now() + yield_interval;
    }
}

void coordination_task::on_message(const host_id&, const term_given_up& it)
{
    core_.on_term_given_up(it.term);
}

bool coordination_task::has_fresh_coordinator(instant now) const
{
    const auto silence = now - last_message_at_;
    const auto age = duration{coordinator_versions_.servers_age} + silence;
    const auto max_silent_age = context_.settings.bounds.drain / silent_ages_per_drain;
    return age < max_servers_age && (silence < heartbeat_timeout || age < max_silent_age);
}

takeover_candidate coordination_task::own_candidacy() const
{
    return {.host = context_.self, .cores = context_.settings.cores};
}

void coordination_task::update_takeover_order()
{
    if (order_version_ == peers_.connected_version()) {
        return;
    }
    order_version_ = peers_.connected_version();
    std::vector<takeover_candidate> others;
    for (const auto& host : peers_.connected_hosts()) {
        const auto* identity = peers_.identity_of(host);
        others.push_back({.host = host, .cores = identity == nullptr ? 0 : identity->cores});
    }
    core_.set_takeover_rank(takeover_rank(own_candidacy(), others));
    stronger_linked_ = stronger_exists(own_candidacy(), others);
}

bool coordination_task::should_yield(instant now) const
{
    return core_.coordinating() && stronger_linked_ && now >= may_yield_after_;
}

void coordination_task::on_servers_or_configuration(instant now)
{
    core_.set_servers(now, context_.view.servers_with_own_word(), context_.view.keyed_services());
    on_limits();
}

void coordination_task::on_evacuations(instant now)
{
    if (core_.coordinating()) {
        send_heartbeats(now);
    }
}

void coordination_task::on_store_era(instant now, store_era era)
{
    const bool rose = core_.era() != store_era{};
    core_.on_store_era(now, era);
    if (rose) {
        last_broadcast_.servers_read = 0;
        last_broadcast_.configuration_offset = 0;
    }
    execute_effects();
}

void coordination_task::on_limits()
{
    core_.set_rate_limits(context_.view.rate_limits(monotonic_now()));
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
    if (next == held_ && published_revision_ == table.revision) {
        return;
    }
    held_ = std::move(next);
    ++held_revision_;
    context_.view.apply_table(table, held_);
    hooks_.on_assignment_change();
}

// ---- load reports

void coordination_task::record_request(const service_id& service, key_number key)
{
    ++request_counts_[{service, key}];
}

void coordination_task::record_service_time(const server_id& server, duration took,
                                            std::uint32_t slowness)
{
    auto& sum = service_times_[server];
    sum.total_us += static_cast<std::uint64_t>(std::max<duration::rep>(took.count(), 0));
    ++sum.count;
    if (slowness > 0) {
        sum.slowness = sum.slowness == 0 ? slowness : std::min(sum.slowness, slowness);
    }
}

void coordination_task::send_load_report()
{
    if (request_counts_.empty() && service_times_.empty()) {
        return;
    }
    load_report out;
    for (const auto& [key, n] : request_counts_) {
        out.keys.push_back({.service = key.first, .key = key.second, .requests = n});
    }
    for (const auto& [server, sum] : service_times_) {
        out.servers.push_back(
            {.server = server, .work = sum.total_us / sum.count, .slowness = sum.slowness});
    }
    request_counts_.clear();
    service_times_.clear();
    if (core_.coordinating()) {
        on_message(context_.self, out);
    } else if (!coordinator_host_.value.empty()) {
        peers_.send(coordinator_host_, out);
    }
}

void coordination_task::on_message(const host_id&, const load_report& it)
{
    const auto now = monotonic_now();
    for (const auto& key : it.keys) {
        core_.load().add(key.service, key.key, key.requests, now);
    }
    for (const auto& server : it.servers) {
        core_.load().add_processing_time(server.server, duration{server.work});
        core_.load().add_slowness(now, server.server, server.slowness);
    }
}

} // namespace quincewing
