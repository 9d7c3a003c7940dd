#include "quincewing/entry/entry_host.hpp"

#include "caller_listener.hpp"
#include "coordination_task.hpp"
#include "dispatch_task.hpp"
#include "host_announcer.hpp"
#include "server_connections.hpp"
#include "status_server.hpp"
#include "store_follower.hpp"

#include "quincewing/base/hash.hpp"
#include "quincewing/logging/event_log.hpp"
#include "quincewing/peers/peers_task.hpp"

#include <random>
#include <variant>

namespace quincewing {

namespace {

constexpr millis tick_period{50};
constexpr seconds log_period{1};
// The balancer asks once a second and takes a host out after two misses.
constexpr millis balancer_notice{2600};
// Callers that were on their way when the balancer noticed arrive within this.
constexpr millis last_callers{500};
// Left of the grace time for the last answers to leave the socket's buffers.
constexpr millis end_margin{350};
constexpr seconds forget_hosts_after{60};

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
    void on_host_lost(const host_id& host);
    void tick();
    void step_stop(instant now);
    [[nodiscard]] bool ready() const;
    [[nodiscard]] shared_retry_budget& budget(const service_id& service);

    event_loop& loop;
    entry_settings settings;
    deployment_api platform;
    registry metrics;
    host_id self;
    deployment_view view;
    host_context context;
    peers_task peers;
    store_follower follower;
    coordination_task coordination;
    dispatch_task places;
    server_connections connections;
    std::map<service_id, shared_retry_budget> budgets;
    flow_services services;
    caller_listener front;
    host_announcer announcer;
    status_server status;
    timer tick_timer;
    instant next_log_tick{};
    instant stop_began{};
    bool stopping{};
    bool front_closed{};
    bool record_removed{};
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
             .forget_after = forget_hosts_after},
            {.on_message = [this](const envelope& it) { on_message(it); },
             .on_connected =
                 [this](const host_id& host, const data_centre_id&) {
                     log_event("dependency",
                               {{"name", "host"}, {"host", host.value}, {"state", "regained"}});
                     coordination.on_host_connected(host);
                 },
             .on_disconnected = [this](const host_id& host) { on_host_lost(host); },
             .on_visitor = [this](const host_id& host) { peers.connect_to({address_of(host)}); },
             .on_process_gone = [](const host_id&) {},
             .on_request = [](const exchange_ptr&) {},
             .next_request_id = [] { return request_id{}; }}),
      follower(context, {.on_servers = [this] { on_view_change(); },
                         .on_configuration = [this] { on_view_change(); }}),
      coordination(context, peers, follower, {.on_table = [this] { front.on_view_change(); }}),
      places(context, peers), connections(context),
      services{
          .dispatch = places,
          .connections = connections,
          .host_count = [this] { return peers.connected_hosts().size() + 1; },
          .budget = [this](const service_id& it) -> shared_retry_budget& { return budget(it); },
          .response_sizes = {},
          .record_request = [this](const service_id& service,
                                   key_number key) { coordination.note_request(service, key); },
          .record_work = [this](const server_id& server,
                                duration took) { coordination.note_work(server, took); }},
      front(context, services), announcer(context, peers),
      status(
          context, [this] { return ready(); },
          [this] {
              metrics.gauge("quincewing_requests_waiting") = static_cast<double>(places.waiting());
              metrics.gauge("quincewing_caller_connections") =
                  static_cast<double>(front.connections());
              metrics.gauge("quincewing_coordinating") = coordination.core().coordinating() ? 1 : 0;
              metrics.gauge("quincewing_log_lines_left_out") =
                  static_cast<double>(standard_log().left_out());
          }),
      tick_timer(loop, [this] { tick(); })
{
}

shared_retry_budget& entry_host::tasks::budget(const service_id& service)
{
    const shared_retry_budget_options options{.share = settings.bounds.repeat_share,
                                              .extra = settings.bounds.repeat_extra,
                                              .window = settings.bounds.repeat_window};
    return budgets.try_emplace(service, options).first->second;
}

bool entry_host::tasks::ready() const
{
    const bool keyed = !view.keyed_services().empty();
    const bool owners = !keyed || !view.table().ranges.empty();
    return !stopping && view.routes().configured() && view.servers_known() && owners;
}

void entry_host::tasks::on_message(const envelope& it)
{
    std::visit(
        [&](const auto& body) {
            using body_type = std::decay_t<decltype(body)>;
            if constexpr (requires { coordination.on_message(it.from, body); }) {
                coordination.on_message(it.from, body);
            } else if constexpr (requires { places.on_message(it.from, body); }) {
                places.on_message(it.from, body);
            } else if constexpr (std::is_same_v<body_type, host_leaving>) {
                places.on_host_leaving(it.from);
            }
        },
        it.body);
}

void entry_host::tasks::on_view_change()
{
    const auto now = monotonic_now();
    coordination.on_servers_or_configuration(now);
    places.on_servers(now);
    front.on_view_change();
}

void entry_host::tasks::on_host_lost(const host_id& host)
{
    log_event("dependency", {{"name", "host"}, {"host", host.value}, {"state", "lost"}});
    places.on_host_lost(host);
}

void entry_host::tasks::tick()
{
    const auto now = monotonic_now();
    announcer.tick(now);
    follower.tick(now);
    coordination.tick(now);
    places.tick(now);
    connections.tick(now);
    front.tick(now);
    if (now >= next_log_tick) {
        next_log_tick = now + log_period;
        standard_log().tick(now);
    }
    if (stopping) {
        step_stop(now);
    }
}

void entry_host::tasks::step_stop(instant now)
{
    const auto since = now - stop_began;
    if (since >= balancer_notice && !front_closed) {
        front_closed = true;
        front.close_idle_connections();
    }
    const bool late = since >= settings.bounds.grace - end_margin;
    const bool quiet = since >= balancer_notice + last_callers;
    if (quiet) {
        front.refuse_new_requests();
    }
    const bool done = quiet && front.idle() && coordination.stopped() && record_removed;
    if ((done || late) && on_stopped) {
        log_event("stopped", {{"host", self.value}, {"whole", done ? "yes" : "no"}});
        std::exchange(on_stopped, nullptr)();
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
    if (!it.front.start()) {
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

void entry_host::stop(std::function<void()> done)
{
    auto& it = *tasks_;
    if (it.stopping) {
        return;
    }
    const auto now = monotonic_now();
    it.stopping = true;
    it.stop_began = now;
    it.on_stopped = std::move(done);
    log_event("stopping", {{"host", it.self.value}});
    it.front.set_stopping();
    it.coordination.stop(now);
    it.places.on_host_leaving(it.self);
    for (const auto& host : it.peers.connected_hosts()) {
        it.peers.send(host, host_leaving{});
    }
    it.announcer.stop([&it] { it.record_removed = true; });
}

} // namespace quincewing
