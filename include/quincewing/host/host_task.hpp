#pragma once

#include "quincewing/backends/backend_pool.hpp"
#include "quincewing/control/host_core.hpp"
#include "quincewing/exchange/exchange.hpp"
#include "quincewing/host/request_log.hpp"
#include "quincewing/host/stop_schedule.hpp"
#include "quincewing/metrics/registry.hpp"
#include "quincewing/net/event_loop.hpp"
#include "quincewing/peers/peers_task.hpp"
#include "quincewing/platform/platform_task.hpp"
#include "quincewing/settings/host_settings.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <tuple>

namespace quincewing {

/// One entry host: gives events to the decisions and carries their effects out.
class host_task
{
public:
    host_task(event_loop& loop, const host_settings& settings, host_id self);
    ~host_task();

    /// Listens and begins to read the log. False when the address cannot be had.
    bool start();
    /// A caller's request whose exchange is set up towards the caller.
    void handle(const exchange_ptr& it);
    /// The caller of the request is gone.
    void caller_gone(const exchange_ptr& it);
    /// Appends an operator's record.
    void append(record_body body) { platform_.append(std::move(body)); }
    /// Hands over and finishes what is in flight; done is called when every request has its answer.
    void stop(const stop_signal& signal, std::function<void()> done);
    /// Ends a stop that has begun: what is open is answered at once.
    void stop_now();

    [[nodiscard]] const host_core& core() const { return core_; }
    [[nodiscard]] const host_settings& settings() const { return settings_; }
    [[nodiscard]] bool stopping() const { return stop_.has_value(); }
    /// Callers that keep a connection to this host should open their next one to another host.
    [[nodiscard]] bool ends_connections() const;
    /// No answer to a request that another host forwarded waits in this process any more.
    [[nodiscard]] bool answers_sent() const { return peers_.answers_sent(); }
    /// When the process of a stopping host has ended.
    [[nodiscard]] instant ends_at() const { return stop_ ? stop_->ends_at : instant::max(); }
    /// Takes callers' requests: the state is known and the host does not stop.
    [[nodiscard]] bool ready() const;
    /// Requests can be decided on; also for a while after a stop was asked for.
    [[nodiscard]] bool taking_requests() const { return core_.has_state(); }
    [[nodiscard]] std::size_t open_requests() const { return open_.size(); }
    [[nodiscard]] const request_log& requests() const { return request_log_; }
    request_id next_request_id() { return request_id{++last_request_}; }
    registry& metrics() { return metrics_; }
    /// Brings gauges and counters of other tasks up to date before they are shown.
    void collect_metrics();
    [[nodiscard]] const service_settings* service(const service_id& id) const;

private:
    void tick();
    void sweep();
    /// Carries out what the decisions want, until nothing is left.
    void work();
    void carry_out(effects& wanted);
    backend_pool* pool_for(const server_id& server);

    // The stop.
    void advance_stop(instant now);
    /// Whether the end waits for answers that came and were not read yet.
    bool reads_last();
    [[nodiscard]] bool answers_unread() const;
    void refuse_waiting(instant now);
    void refuse_stopping(const exchange_ptr& it);
    /// Whether the request may be sent to a server or another host at this time.
    [[nodiscard]] bool may_begin(const exchange& it, instant at) const;
    void answer_all();
    [[nodiscard]] bool may_have_run(const exchange& it) const;

    // Requests.
    void route(const exchange_ptr& it);
    bool choose_route(const exchange_ptr& it);
    void serve_here(const exchange_ptr& it);
    void serve_there(const host_id& leader, const exchange_ptr& it);
    void on_answer(const final_answer& answer);
    void on_finished(const exchange_ptr& it, const request_result& result);
    void on_forward_failed(const exchange_ptr& it, const forward_failure& how);
    /// Whether the answer is withheld because another try may do better.
    bool try_again(const exchange_ptr& it, const response_head& head);
    void watch_answer(const exchange_ptr& it);
    void answer(const exchange_ptr& it, const final_answer& how);
    void expire(const exchange_ptr& it);
    void abort_run(const exchange_ptr& it);
    void end_overdue_runs(instant now);
    void close(const exchange_ptr& it);
    void count(const exchange& it);
    struct request_metrics
    {
        histogram* times{};
        std::array<std::uint64_t*, 3> by_verdict{};
    };
    using metrics_key = std::tuple<std::string, request_class, bool>;
    request_metrics& metrics_for(const exchange& it);

    event_loop& loop_;
    host_settings settings_;
    host_id self_;
    registry metrics_;
    /// Looked up once for each service and class, not for each request.
    std::map<metrics_key, request_metrics> request_metrics_;
    host_core core_;
    effects effects_;
    peers_task peers_;
    platform_task platform_;
    std::map<server_id, std::unique_ptr<backend_pool>> pools_;
    std::map<request_id, exchange_ptr> open_;
    std::map<request_id, std::unique_ptr<timer>> again_;
    /// Exchanges whose run goes on at a server of ours.
    std::map<request_id, exchange_ptr> running_;
    request_log request_log_;
    timer tick_timer_;
    timer sweep_timer_;
    timer work_timer_;
    timer reap_timer_;
    std::minstd_rand random_;
    std::uint64_t last_request_{};
    std::optional<stop_schedule> stop_;
    /// What waited for a server has been refused.
    bool refusing_{};
    int last_reads_{};
    timer last_reads_timer_;
    std::function<void()> stopped_;
};

} // namespace quincewing
