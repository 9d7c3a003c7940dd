#include "entry_host_tasks.hpp"

#include "quincewing/base/hash.hpp"
#include "quincewing/logging/event_log.hpp"

#include <random>
#include <utility>
#include <variant>

namespace quincewing {

namespace {

constexpr millis tick_period{50};
constexpr seconds log_period{1};
// Hosts that are out of reach for less keep their part of the retry budget, and are found again.
constexpr seconds forget_host_after{600};

host_id new_host_id(const std::string& address)
{
    std::random_device random;
    const auto instance = (static_cast<std::uint64_t>(random()) << 32U) | random();
    return make_host_id(address, instance);
}

} // namespace

entry_host::tasks::tasks(event_loop& loop_, entry_settings settings_, deployment_api platform_)
    : loop(loop_), settings(std::move(settings_)),
      store_eras({.on_change = [this](store_era from, store_era to) { on_store_era(from, to); },
                  .on_stale =
                      [](store_era told, store_era known) {
                          log_event("store_answer_of_earlier_era",
                                    {{"era", told.value}, {"known", known.value}});
                      }}),
      platform(std::move(platform_)), self(new_host_id(settings.peers)),
      view(stable_hash(self.value), settings.bounds.evacuation / 2), context{loop,     settings,
                                                                             platform, view,
                                                                             metrics,  self},
      peers(loop,
            {.self = self,
             .address = settings.peers,
             .listen = settings.peers,
             .data_centre = data_centre_id{settings.data_centre},
             .cores = settings.cores,
             .forget_after = forget_host_after},
            {.on_message = [this](const envelope& it) { on_message(it); },
             .on_connected =
                 [this](const peer_identity& it) {
                     log_event("dependency", {{"name", "host"},
                                              {"host", it.host.value},
                                              {"speaks", std::uint64_t{it.speaks.value}},
                                              {"state", "regained"}});
                     coordination.on_host_connected(it);
                     crashes.on_host_connected(it.host);
                     conditions.on_host_connected(it.host);
                     reach.on_host_connected(it.host, it.data_centre);
                     tell_if_stopping(it.host);
                 },
             .on_disconnected = [this](const host_id& host) { on_host_lost(host); },
             .on_visitor =
                 [this](const peer_identity& it) {
                     announcer.link_back(it);
                     tell_if_stopping(it.host);
                 },
             .on_process_gone = [](const host_id&) {},
             .on_request = [this](const exchange_ptr& it) { relays.on_request(it); },
             .next_request_id = [] { return request_id{}; }}),
      follower(context, {.on_servers = [this] { on_view_change(); }}),
      configuration(context, {.on_configuration = [this] { on_view_change(); },
                              .on_unknown = [this] { coordination.ask_for_configuration(); }}),
      coordination(context, peers, follower, configuration,
                   {.on_assignment_change = [this] { listener.on_view_change(); },
                    .on_notice =
                        [this](const backend_server& server, const server_notice& notice) {
                            conditions.on_notice(server, {}, notice);
                        },
                    .on_key_call = [this](const key_holder& to, instant begun_at,
                                          call_way way) { reach.on_key_call(to, begun_at, way); },
                    .on_era_told = [this](store_era era) { store_eras.on_told(era); }}),
      dispatch(context, peers),
      crashes(context, peers, [this](const host_id& it) { return cut_off(it); }),
      conditions(context, peers,
                 {.on_limits = [this] { on_limits_change(); },
                  .on_leaving = [this] { on_view_change(); },
                  .on_rest = [this](const server_id& it) { listener.on_server_rests(it); }}),
      connections(context), reach(context, peers, connections),
      services{
          .dispatch = dispatch,
          .connections = connections,
          .peers = peers,
          .reach = reach,
          .host_count = [this] { return peers.known_hosts() + 1; },
          .budget = [this](const service_id& it) -> shared_retry_budget& { return budget(it); },
          .crashes = crashes,
          .may_start_requests = [this] { return listener.may_start_requests(); },
          .response_sizes = {},
          .record_request = [this](const service_id& service,
                                   key_number key) { coordination.record_request(service, key); },
          .on_notice =
              [this](const backend_server& server, instant sent_at, const server_notice& notice) {
                  conditions.on_notice(server, sent_at, notice);
              },
          .record_service_time =
              [this](const server_id& server, duration took, std::uint32_t slowness) {
                  coordination.record_service_time(server, took, slowness);
              }},
      listener(context, services),
      relays(
          context, peers, reach, connections,
          {.may_start = [this] { return !stopping; },
           .on_notice =
               [this](const backend_server& server, instant sent_at, const server_notice& notice) {
                   conditions.on_notice(server, sent_at, notice);
               }}),
      announcer(context, peers),
      status(
          context, [this] { return ready(); },
          [this] {
              metrics.gauge("quincewing_requests_waiting") =
                  static_cast<double>(dispatch.waiting());
              metrics.gauge("quincewing_caller_connections") =
                  static_cast<double>(listener.connections());
              listener.update_metrics();
              metrics.gauge("quincewing_crash_suspects") =
                  static_cast<double>(crashes.guard().size());
              metrics.gauge("quincewing_limited_servers") =
                  static_cast<double>(view.rate_limits(monotonic_now()).size());
              metrics.gauge("quincewing_evacuated_data_centres") =
                  static_cast<double>(view.evacuations().size());
              metrics.gauge("quincewing_coordinating") = coordination.core().coordinating() ? 1 : 0;
              metrics.gauge("quincewing_store_era") = static_cast<double>(store_eras.era().value);
              metrics.counter("quincewing_store_era_changes_total") = store_era_changes;
              metrics.gauge("quincewing_cut_off_from_servers") = reach.cut_off() ? 1 : 0;
              metrics.counter("quincewing_peer_bytes_sent_total") = peers.counts().bytes_sent;
              for (const auto& [call, n] : store_calls.all()) {
                  metrics.counter("quincewing_store_calls_total", {{"call", call}}) = n;
              }
              metrics.counter("quincewing_peer_messages_unknown_total") = peers.counts().unknown;
              metrics.counter("quincewing_peer_messages_unreadable_total") =
                  peers.counts().unreadable;
              metrics.gauge("quincewing_log_lines_left_out") =
                  static_cast<double>(standard_log().left_out());
          },
          [this] { return conditions.describe(); }),
      tick_timer(loop, [this] { tick(); }),
      refusal_timer(loop, [this] { listener.refuse_unsent_requests(); }),
      end_timer(loop, [this] { look_for_end(); })
{
    platform.store = store_eras.wrap(store_calls.wrap(std::move(platform.store)));
}

shared_retry_budget& entry_host::tasks::budget(const service_id& service)
{
    const shared_retry_budget_options options{.share = settings.bounds.repeat_share,
                                              .extra = settings.bounds.repeat_extra,
                                              .window = settings.bounds.repeat_window};
    return budgets.try_emplace(service, options, started).first->second;
}

// At its start a host knows no configuration until it knows that it is in force. Later it goes on
// with the one that it has unless it knows of a newer one.
bool entry_host::tasks::configuration_in_force() const
{
    const auto trusted =
        view.currency().current(monotonic_now(), settings.bounds.configuration_trust());
    return trusted || (configuration_confirmed && !view.currency().behind());
}

bool entry_host::tasks::ready() const
{
    const bool has_keyed_services = !view.keyed_services().empty();
    const bool keys_assigned = !has_keyed_services || !view.table().ranges.empty();
    return !stopping && configuration_in_force() && configuration.orders_known() &&
           view.servers_known() && keys_assigned;
}

void entry_host::tasks::on_message(const envelope& it)
{
    std::visit(
        [&](const auto& body) {
            using body_type = std::decay_t<decltype(body)>;
            if constexpr (requires { coordination.on_message(it.from, body); }) {
                coordination.on_message(it.from, body);
            } else if constexpr (requires { dispatch.on_message(it.from, body); }) {
                dispatch.on_message(it.from, body);
            } else if constexpr (requires { crashes.on_message(it.from, body); }) {
                crashes.on_message(it.from, body);
            } else if constexpr (requires { conditions.on_message(it.from, body); }) {
                conditions.on_message(it.from, body);
            } else if constexpr (requires { reach.on_message(it.from, body); }) {
                reach.on_message(it.from, body);
            } else if constexpr (std::is_same_v<body_type, host_leaving>) {
                dispatch.on_host_leaving(it.from);
                reach.on_host_leaving(it.from);
            }
        },
        it.body);
}

void entry_host::tasks::on_view_change()
{
    const auto now = monotonic_now();
    coordination.on_servers_or_configuration(now);
    dispatch.on_servers(now);
    reach.on_servers();
    listener.on_view_change();
}

void entry_host::tasks::apply_evacuations(instant now)
{
    const auto changes = view.evacuations().take_changes(now);
    if (changes.empty()) {
        return;
    }
    for (const auto& it : changes) {
        log_event("evacuation", {{"data_centre", it.data_centre.value},
                                 {"state", to_string(it.stage)},
                                 {"offset", view.evacuations().read_offset().value}});
    }
    for (const auto& [service, settings_of_service] : view.routes().current().services) {
        if (view.evacuated(service)) {
            log_event("evacuation_whole", {{"service", service.value}});
        }
    }
    coordination.on_evacuations(now);
    on_view_change();
}

void entry_host::tasks::on_limits_change()
{
    coordination.on_limits();
    dispatch.on_servers(monotonic_now());
}

bool entry_host::tasks::cut_off(const host_id& host) const
{
    return host == self ? reach.cut_off_from_any() : reach.told_cut(host);
}

void entry_host::tasks::on_host_lost(const host_id& host)
{
    log_event("dependency", {{"name", "host"}, {"host", host.value}, {"state", "lost"}});
    dispatch.on_host_lost(host);
    reach.on_host_lost(host);
}

void entry_host::tasks::tell_if_stopping(const host_id& host)
{
    if (stopping) {
        peers.send(host, host_leaving{});
    }
}

void entry_host::tasks::on_store_era(store_era from, store_era to)
{
    log_event("store_era", {{"from", from.value}, {"to", to.value}});
    const auto now = monotonic_now();
    coordination.on_store_era(now, to);
    if (from == store_era{}) {
        return;
    }
    ++store_era_changes;
    follower.on_store_era(now);
    configuration.on_store_era(now);
    announcer.on_store_era(now);
    crashes.on_store_era(now);
}

void entry_host::tasks::log_store_calls()
{
    const auto counts = store_calls.take_new();
    if (counts.empty()) {
        return;
    }
    std::vector<log_field> fields;
    fields.reserve(counts.size());
    for (const auto& [call, n] : counts) {
        fields.emplace_back(call, n);
    }
    log_event("store_calls", fields);
}

void entry_host::tasks::tick()
{
    const auto now = monotonic_now();
    const auto late = now - std::exchange(last_tick, now) - tick_period;
    delays.note(now, late);
    stop_notes.note_tick(late);
    apply_evacuations(now);
    announcer.tick(now);
    follower.tick(now);
    configuration.tick(now);
    configuration_confirmed = configuration_confirmed || configuration_in_force();
    reach.tick(now, coordination.role(now));
    coordination.set_standing_aside(reach.should_stand_aside(now) ||
                                    coordination.should_yield(now));
    coordination.tick(now);
    relays.tick(now);
    dispatch.tick(now);
    conditions.tick(now);
    crashes.tick(now, coordination.core().coordinating());
    connections.tick(now);
    listener.tick(now);
    if (now >= next_log_tick) {
        next_log_tick = now + log_period;
        log_store_calls();
        services.relays.log();
        listener.log_limits();
        standard_log().tick(now);
    }
    if (stopping) {
        continue_shutdown(now);
    }
}

entry_host::entry_host(event_loop& loop, entry_settings settings, deployment_api platform)
    : tasks_(std::make_unique<tasks>(loop, std::move(settings), std::move(platform)))
{
}

entry_host::~entry_host() = default;

std::string entry_host::start()
{
    auto& it = *tasks_;
    if (!it.peers.start()) {
        return it.settings.peers;
    }
    if (!it.listener.start()) {
        return it.settings.callers;
    }
    if (auto failed = it.status.start(); !failed.empty()) {
        return failed;
    }
    log_event("started", {{"host", it.self.value},
                          {"name", it.settings.name},
                          {"data_centre", it.settings.data_centre},
                          {"callers", it.settings.callers},
                          {"metrics", it.settings.metrics}});
    it.tick_timer.every(tick_period);
    it.tick();
    return {};
}

} // namespace quincewing
