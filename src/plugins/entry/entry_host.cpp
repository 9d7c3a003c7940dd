#include "quincewing/entry/entry_host.hpp"

#include "caller_listener.hpp"
#include "condition_exchange.hpp"
#include "configuration_follower.hpp"
#include "coordination_task.hpp"
#include "crash_exchange.hpp"
#include "dispatch_task.hpp"
#include "host_announcer.hpp"
#include "loop_delays.hpp"
#include "reach_task.hpp"
#include "request_relay.hpp"
#include "server_connections.hpp"
#include "status_server.hpp"
#include "stop_record.hpp"
#include "store_follower.hpp"

#include "quincewing/base/hash.hpp"
#include "quincewing/deployment/entry_stop_schedule.hpp"
#include "quincewing/deployment/store_call_counts.hpp"
#include "quincewing/logging/event_log.hpp"
#include "quincewing/peers/peers_task.hpp"

#include <algorithm>
#include <random>
#include <variant>

namespace quincewing {

namespace {

constexpr millis tick_period{50};
constexpr seconds log_period{1};
// A process that was suspended runs its timers before it reads its sockets, and one turn of the
// loop reads only a part of a long response.
constexpr int turns_of_last_reads = 3;
// How often a host that ends looks whether its answers have left it.
constexpr millis sent_look_period{20};
// Messages to other hosts leave the socket's buffer in this time.
constexpr millis time_for_last_messages{150};
// Hosts that are out of reach for less keep their part of the retry budget, and are found again.
constexpr seconds forget_host_after{600};

host_id new_host_id(const std::string& address)
{
    std::random_device random;
    const auto instance = (static_cast<std::uint64_t>(random()) << 32U) | random();
    return make_host_id(address, instance);
}

} // namespace

struct entry_host::tasks
{
    tasks(event_loop& loop_, entry_settings settings_, deployment_api platform_);

    void on_message(const envelope& it);
    void on_view_change();
    void on_limits_change();
    void on_host_lost(const host_id& host);
    /// A host that links to one that stops has not heard of the stop.
    void tell_if_stopping(const host_id& host);
    void log_store_calls();
    void tick();
    void continue_shutdown(instant now);
    /// Answers the rest and ends the stop, each when it is time.
    void look_for_end();
    [[nodiscard]] bool nothing_open() const;
    void end_stop(bool whole);
    void log_stop(bool whole) const;
    /// How requests ended since the stop began.
    void log_ends();
    [[nodiscard]] bool configuration_in_force() const;
    [[nodiscard]] bool ready() const;
    [[nodiscard]] shared_retry_budget& budget(const service_id& service);

    event_loop& loop;
    entry_settings settings;
    store_call_counts store_calls;
    deployment_api platform;
    registry metrics;
    host_id self;
    deployment_view view;
    host_context context;
    peers_task peers;
    store_follower follower;
    configuration_follower configuration;
    coordination_task coordination;
    dispatch_task dispatch;
    crash_exchange crashes;
    condition_exchange conditions;
    server_connections connections;
    reach_task reach;
    std::map<service_id, shared_retry_budget> budgets;
    flow_services services;
    caller_listener listener;
    request_relay relays;
    host_announcer announcer;
    status_server status;
    timer tick_timer;
    timer refusal_timer;
    timer end_timer;
    loop_delays delays;
    instant started{monotonic_now()};
    instant next_log_tick{};
    instant last_tick{monotonic_now()};
    stop_record stop_notes;
    entry_stop_schedule stop_steps;
    bool stopping{};
    bool record_removed{};
    /// The configuration was once known to be in force.
    bool configuration_confirmed{};
    std::function<void()> on_stopped;
};

entry_host::tasks::tasks(event_loop& loop_, entry_settings settings_, deployment_api platform_)
    : loop(loop_), settings(std::move(settings_)), platform(std::move(platform_)),
      self(new_host_id(settings.peers)),
      view(stable_hash(self.value)), context{loop, settings, platform, view, metrics, self},
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
                        }}),
      dispatch(context, peers), crashes(context, peers),
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
          .crashes = crashes.guard(),
          .may_start_requests = [this] { return listener.may_start_requests(); },
          .response_sizes = {},
          .record_request = [this](const service_id& service,
                                   key_number key) { coordination.record_request(service, key); },
          .on_notice =
              [this](const backend_server& server, instant sent_at, const server_notice& notice) {
                  conditions.on_notice(server, sent_at, notice);
              },
          .record_service_time =
              [this](const server_id& server, duration took) {
                  coordination.record_service_time(server, took);
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
              metrics.gauge("quincewing_crash_suspects") =
                  static_cast<double>(crashes.guard().size());
              metrics.gauge("quincewing_limited_servers") =
                  static_cast<double>(view.rate_limits().size());
              metrics.gauge("quincewing_coordinating") = coordination.core().coordinating() ? 1 : 0;
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
    platform.store = store_calls.wrap(std::move(platform.store));
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
    return !stopping && configuration_in_force() && view.servers_known() && keys_assigned;
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

void entry_host::tasks::on_limits_change()
{
    coordination.on_limits();
    dispatch.on_servers(monotonic_now());
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
    announcer.tick(now);
    follower.tick(now);
    configuration.tick(now);
    configuration_confirmed = configuration_confirmed || configuration_in_force();
    reach.tick(now, coordination.core().coordinating());
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
        standard_log().tick(now);
    }
    if (stopping) {
        continue_shutdown(now);
    }
}

void entry_host::tasks::log_stop(bool whole) const
{
    const auto signalled = stop_notes.signal.received_at;
    log_event("stopped", {{"host", self.value},
                          {"whole", whole ? "yes" : "no"},
                          {"took", monotonic_now() - signalled},
                          {"tick_delay", stop_notes.tick_delay},
                          {"last_started", listener.last_started() - signalled}});
}

void entry_host::tasks::log_ends()
{
    for (const auto& it : services.ends.take()) {
        log_event("ends_at_stop", {{"reason", it.end.reason},
                                   {"at_server", it.end.at_server ? "yes" : "no"},
                                   {"status", it.end.status},
                                   {"requests", it.requests}});
    }
}

void entry_host::tasks::continue_shutdown(instant now)
{
    if (now >= stop_steps.close_idle) {
        listener.close_idle_connections();
    }
    // The end's own timer goes on once per turn of the loop.
    const bool reads_last = stop_notes.last_reads > 0 && !stop_notes.rest_answered;
    if (now >= stop_steps.refuse_unsent && !reads_last) {
        look_for_end();
    }
}

bool entry_host::tasks::nothing_open() const
{
    return listener.idle() && relays.idle() && coordination.stopped() && record_removed;
}

void entry_host::tasks::look_for_end()
{
    if (!on_stopped) {
        return;
    }
    const auto now = monotonic_now();
    const auto late = delays.largest();
    const auto answer_rest = answer_rest_at(stop_steps, late);
    const auto end = end_at(stop_steps, late);
    const bool whole = !stop_notes.rest_answered && nothing_open();
    if (!whole && !stop_notes.rest_answered && now >= answer_rest) {
        if (stop_notes.last_reads < turns_of_last_reads && listener.responses_unread()) {
            ++stop_notes.last_reads;
            end_timer.once(duration{0});
            return;
        }
        stop_notes.rest_answered = true;
        listener.answer_unfinished();
        // Answers are written in the next turn of the loop.
        end_timer.once(sent_look_period);
        return;
    }
    const bool over = whole || stop_notes.rest_answered;
    if (!over || !listener.all_sent()) {
        stop_notes.all_sent_at.reset();
    } else if (!stop_notes.all_sent_at) {
        stop_notes.all_sent_at = now;
    }
    const auto& sent_at = stop_notes.all_sent_at;
    if (now >= end || (sent_at && now - *sent_at >= time_for_last_messages)) {
        end_stop(whole);
        return;
    }
    end_timer.once(over ? duration{sent_look_period} : answer_rest - now);
}

void entry_host::tasks::end_stop(bool whole)
{
    listener.cut_answers();
    log_stop(whole);
    log_ends();
    std::exchange(on_stopped, nullptr)();
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

std::size_t entry_host::unsent_bytes() const
{
    return tasks_->listener.unsent_bytes();
}

void entry_host::stop(const stop_signal& signal, std::function<void()> done)
{
    auto& it = *tasks_;
    if (it.stopping) {
        return;
    }
    const auto now = monotonic_now();
    it.stopping = true;
    it.stop_steps = make_entry_stop_schedule(signal, it.settings.bounds.grace);
    it.on_stopped = std::move(done);
    it.stop_notes = {.signal = signal};
    (void)it.services.ends.take();
    log_event("stopping", {{"host", it.self.value},
                           {"sent_after", now - signal.sent_after},
                           {"received", now - signal.received_at}});
    it.listener.set_stopping();
    it.listener.set_last_start(it.stop_steps.refuse_unsent);
    it.end_timer.once(std::max(it.stop_steps.answer_rest - now, duration{0}));
    it.refusal_timer.once(std::max(it.stop_steps.refuse_unsent - now, duration{0}));
    it.coordination.stop(now);
    it.dispatch.on_host_leaving(it.self);
    it.peers.send_to_all(host_leaving{});
    it.announcer.stop([&it] { it.record_removed = true; });
}

} // namespace quincewing
