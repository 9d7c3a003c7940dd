#include "quincewing/host/host_task.hpp"

#include "host_options_of.hpp"

#include "quincewing/base/hash.hpp"

#include <glog/logging.h>

/// The host's life: start and the decisions' effects.
namespace quincewing {

namespace {

constexpr millis tick_every{20};
constexpr millis sweep_every{10};
// The deadlines decide first.
constexpr seconds after_deadline{10};

} // namespace

host_task::host_task(event_loop& loop, const host_settings& settings, host_id self)
    : loop_(loop), settings_(settings), self_(std::move(self)),
      core_(host_options_of(settings, self_)),
      peers_(loop,
             {.self = self_,
              .address = settings.address,
              .listen = settings.listen.empty() ? settings.address : settings.listen,
              .data_centre = data_centre_id{settings.data_centre}},
             {.on_message =
                  [this](const envelope& it) {
                      core_.on_envelope(monotonic_now(), it, effects_);
                      work_timer_.soon();
                  },
              .on_connected =
                  [this](const peer_identity& it) {
                      const heartbeat sign{.data_centre = it.data_centre};
                      core_.on_envelope(monotonic_now(),
                                        {.from = it.host, .to = self_, .body = sign}, effects_);
                      work_timer_.soon();
                  },
              .on_process_gone =
                  [this](const host_id& host) {
                      core_.on_process_gone(monotonic_now(), host, effects_);
                      work_timer_.soon();
                  },
              .on_request = [this](const exchange_ptr& it) { handle(it); },
              .next_request_id = [this] { return next_request_id(); }}),
      platform_(loop,
                {.address = settings.platform.address,
                 .stream = settings.platform.stream,
                 .poll = settings.platform.poll,
                 .timeout = settings.platform.timeout,
                 .appends_per_second = static_cast<double>(settings.platform.appends_per_second),
                 .append_burst = static_cast<double>(settings.platform.append_burst)},
                {.on_records =
                     [this](instant started, const auto& records, bool at_tail) {
                         core_.on_read(monotonic_now(), started, records, at_tail, effects_);
                         work_timer_.soon();
                     },
                 .on_state =
                     [this](instant started, log_state state) {
                         core_.on_state(monotonic_now(), started, std::move(state), effects_);
                         work_timer_.soon();
                     },
                 .on_hosts =
                     [this](const std::set<std::string>& addresses) {
                         core_.on_host_list(monotonic_now(), addresses);
                         peers_.connect_to(addresses);
                     },
                 .applied = [this] { return core_.state().applied_offset(); }},
                self_),
      tick_timer_(loop, [this] { tick(); }), sweep_timer_(loop, [this] { sweep(); }),
      work_timer_(loop, [this] { work(); }), reap_timer_(loop, [] {}),
      random_(static_cast<std::uint32_t>(stable_hash(self_.value))),
      last_reads_timer_(loop, [this] { advance_stop(monotonic_now()); })
{
}

host_task::~host_task() = default;

bool host_task::start()
{
    if (!peers_.start()) {
        return false;
    }
    peers_.connect_to({settings_.peers.begin(), settings_.peers.end()});
    platform_.start();
    tick_timer_.every(tick_every);
    sweep_timer_.every(sweep_every);
    return true;
}

bool host_task::ready() const
{
    return core_.has_state() && !stopping();
}

const service_settings* host_task::service(const service_id& id) const
{
    const auto found = settings_.services.find(id.value);
    return found == settings_.services.end() ? nullptr : &found->second;
}

void host_task::tick()
{
    core_.tick(monotonic_now(), effects_);
    work();
    // The last reads take a turn of the loop each.
    if (last_reads_ == 0) {
        advance_stop(monotonic_now());
    }
}

void host_task::work()
{
    core_.flush(monotonic_now(), effects_);
    while (true) {
        effects wanted = std::move(effects_);
        effects_ = {};
        const bool nothing = wanted.sends.empty() && wanted.appends.empty() &&
                             wanted.commands.empty() && wanted.dispatches.empty() &&
                             wanted.answers.empty() && wanted.aborts.empty() &&
                             wanted.changes.empty();
        if (nothing) {
            return;
        }
        carry_out(wanted);
        core_.flush(monotonic_now(), effects_);
    }
}

void host_task::carry_out(effects& wanted)
{
    for (const auto& it : wanted.changes) {
        LOG(INFO) << "change=" << it.what << " about=" << it.about << (it.detail.empty() ? "" : " ")
                  << it.detail;
        ++metrics_.counter("quincewing_changes_total", {{"what", it.what}});
    }
    for (auto& it : wanted.sends) {
        if (!it.to.value.empty()) {
            peers_.send(it.to, it.body);
        }
    }
    for (auto& it : wanted.appends) {
        platform_.append(std::move(it));
    }
    for (const auto& it : wanted.commands) {
        auto* pool = pool_for(it.server);
        if (pool == nullptr) {
            continue;
        }
        pool->command(it,
                      [this, server = it.server, number = it.number](const command_reply& reply) {
                          core_.on_command_result(monotonic_now(), server, number, reply, effects_);
                          work_timer_.soon();
                      });
    }
    for (const auto& it : wanted.dispatches) {
        const auto found = open_.find(it.id);
        auto* pool = pool_for(it.server);
        const bool lost = found == open_.end() || pool == nullptr;
        if (lost) {
            core_.finished(monotonic_now(), it.id, {.verdict = verdict::not_run}, effects_);
            continue;
        }
        if (!may_begin(*found->second, monotonic_now())) {
            core_.finished(monotonic_now(), it.id, {.verdict = verdict::not_run}, effects_);
            refuse_stopping(found->second);
            continue;
        }
        running_[it.id] = found->second;
        found->second->handed_over = true;
        pool->send(found->second, it.fence);
    }
    for (const auto& it : wanted.answers) {
        on_answer(it);
    }
    for (const auto& id : wanted.aborts) {
        const auto found = running_.find(id);
        if (found != running_.end()) {
            if (auto* pool = pool_for(found->second->server)) {
                pool->abort(id);
            }
        }
    }
}

backend_pool* host_task::pool_for(const server_id& server)
{
    const auto found = pools_.find(server);
    const auto entry = core_.state().servers().find(server);
    if (entry == core_.state().servers().end()) {
        return found == pools_.end() ? nullptr : found->second.get();
    }
    if (found != pools_.end() && found->second->address() == entry->second.address) {
        return found->second.get();
    }
    const auto* settings = service(entry->second.service);
    backend_options options{.fresh = settings_.limits.fresh_connection};
    if (settings != nullptr) {
        options.max_connections = settings->connections;
        options.response_timeout = settings->max_deadline + after_deadline;
    }
    auto& pool = pools_[server];
    pool = std::make_unique<backend_pool>(
        loop_, server, entry->second.address, options,
        [this](const exchange_ptr& it, const request_result& result) { on_finished(it, result); });
    return pool.get();
}

void host_task::collect_metrics()
{
    const auto now = monotonic_now();
    const auto& peers = peers_.counts();
    const auto& platform = platform_.counts();
    metrics_.counter("quincewing_peer_bytes_sent_total") = peers.bytes_sent;
    metrics_.counter("quincewing_peer_bytes_received_total") = peers.bytes_received;
    metrics_.counter("quincewing_peer_messages_sent_total") = peers.messages_sent;
    metrics_.counter("quincewing_peer_messages_received_total") = peers.messages_received;
    metrics_.counter("quincewing_requests_forwarded_total") = peers.forwarded;
    metrics_.counter("quincewing_log_reads_total") = platform.reads;
    metrics_.counter("quincewing_log_reads_failed_total") = platform.reads_failed;
    metrics_.counter("quincewing_log_appends_total") = platform.appends;
    metrics_.counter("quincewing_log_appends_failed_total") = platform.appends_failed;
    metrics_.counter("quincewing_log_appends_dropped_total") = platform.appends_dropped;
    metrics_.counter("quincewing_log_void_records_total") = core_.void_records();
    metrics_.gauge("quincewing_log_reachable") = core_.log_reachable(now) ? 1 : 0;
    metrics_.gauge("quincewing_log_applied_offset") =
        static_cast<double>(core_.state().applied_offset());
    metrics_.gauge("quincewing_requests_open") = static_cast<double>(open_.size());
    metrics_.gauge("quincewing_peers_live") =
        static_cast<double>(core_.members().available(now).size());
    metrics_.clear_gauge("quincewing_acting");
    metrics_.clear_gauge("quincewing_queue_length");
    metrics_.clear_gauge("quincewing_ledger_entries");
    for (const auto& [server, agent] : core_.agents()) {
        const registry::labels by{{"server", server.value}};
        metrics_.gauge("quincewing_acting", by) = agent.may_act(now) ? 1 : 0;
        metrics_.gauge("quincewing_queue_length", by) = static_cast<double>(agent.queue().queued());
        metrics_.gauge("quincewing_ledger_entries", by) =
            static_cast<double>(agent.request_ledger().size());
    }
    for (const auto& [server, pool] : pools_) {
        const registry::labels by{{"server", server.value}};
        const auto& counts = pool->counts();
        metrics_.counter("quincewing_backend_requests_total", by) = counts.requests;
        metrics_.counter("quincewing_backend_connections_opened_total", by) =
            counts.connections_opened;
        metrics_.counter("quincewing_backend_connections_broken_total", by) =
            counts.connections_broken;
        metrics_.counter("quincewing_backend_connections_silent_total", by) =
            counts.connections_silent;
        metrics_.counter("quincewing_backend_retries_total", by) = counts.retries;
        metrics_.counter("quincewing_backend_crashes_total", by) = counts.crashes;
    }
}

} // namespace quincewing
