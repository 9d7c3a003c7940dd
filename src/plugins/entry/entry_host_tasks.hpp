#pragma once

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

#include "quincewing/deployment/entry_stop_schedule.hpp"
#include "quincewing/deployment/store_call_counts.hpp"
#include "quincewing/deployment/store_era_gate.hpp"
#include "quincewing/entry/entry_host.hpp"
#include "quincewing/peers/peers_task.hpp"

#include <functional>
#include <map>

namespace quincewing {

/// The tasks of an entry host, what connects them, and its stop.
struct entry_host::tasks
{
    tasks(event_loop& loop_, entry_settings settings_, deployment_api platform_);

    void on_message(const envelope& it);
    void on_view_change();
    void apply_evacuations(instant now);
    void on_limits_change();
    void on_host_lost(const host_id& host);
    /// The host, this or another one, does not reach the servers of some service.
    [[nodiscard]] bool cut_off(const host_id& host) const;
    /// A host that links to one that stops has not heard of the stop.
    void tell_if_stopping(const host_id& host);
    void log_store_calls();
    void on_store_era(store_era from, store_era to);
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
    store_era_gate store_eras;
    std::uint64_t store_era_changes{};
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

} // namespace quincewing
