#pragma once

#include "caller_connection.hpp"
#include "request_flow.hpp"

#include "quincewing/admission/connection_budget.hpp"
#include "quincewing/admission/memory_budget.hpp"
#include "quincewing/logging/event_counts.hpp"

#include <functional>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

struct evconnlistener;

namespace quincewing {

/// Accepts connections from callers and owns them and the flows of their requests.
class caller_listener
{
public:
    caller_listener(host_context context, flow_services& services);
    ~caller_listener();
    caller_listener(const caller_listener&) = delete;
    caller_listener& operator=(const caller_listener&) = delete;

    /// Returns false if it cannot listen on the configured address.
    bool start();
    /// Key owners, servers or the configuration changed.
    void on_view_change();
    /// The server wants nothing more from this host for a time.
    void on_server_rests(const server_id& server);
    /// From now on responses carry "Connection: close".
    void set_stopping();
    /// From now on connections are closed after a short time without a request.
    void close_idle_connections();
    /// From then on no request is started or sent to a server, however late the loop is.
    void set_last_start(instant it) { last_start_ = it; }
    [[nodiscard]] bool may_start_requests() const { return monotonic_now() < last_start_; }
    /// Stops listening, and refuses the requests that are not at a server.
    void refuse_unsent_requests();
    /// Reads what has come of servers' responses to requests whose answers have not begun.
    void read_responses();
    /// Answers all requests that are being handled, and logs them: the process ends soon. Answers
    /// that have begun go on.
    void answer_unfinished();
    /// Logs the requests whose answers are not complete, and ends them: the process ends now.
    void cut_answers();
    /// No request is being handled and no connection is open.
    [[nodiscard]] bool idle() const { return flows_.empty() && connections_.empty(); }
    void tick(instant now);
    [[nodiscard]] std::size_t connections() const { return connections_.size(); }
    /// Writes gauges of what is held for callers.
    void update_metrics();
    /// Logs what was refused and closed for lack of memory and descriptors since the last call.
    void log_limits() { limited_.log(); }
    /// Bytes of responses that have not left this machine's buffers yet.
    [[nodiscard]] std::size_t unsent_bytes() const;
    /// All responses are complete, and callers have received them.
    [[nodiscard]] bool all_sent() const;
    /// Arrival of the last request that was started.
    [[nodiscard]] instant last_started() const { return last_started_; }

private:
    /// caller: the IP address at the other end.
    void on_accept(int fd, std::string caller);
    void on_request(const caller_exchange_ptr& exchange);
    [[nodiscard]] bool may_run_concurrently(const message_head& head) const;
    void remove_connection(caller_connection* it);
    /// Closes quiet connections for new ones; false if there is no room for one.
    bool make_room_for_connection();
    void keep_to_budget(instant now);
    void count_limited(const std::string& what);
    [[nodiscard]] caller_connection* find_connection(memory_holder id) const;
    void remove_ended_flows();
    /// Gives up the requests for which this holds. Returns their number.
    std::size_t give_up_if(const std::function<bool(const request_flow&)>& wanted);

    host_context context_;
    flow_services& services_;
    evconnlistener* listener_{};
    std::unordered_map<caller_connection*, std::unique_ptr<caller_connection>> connections_;
    /// Destroyed by the timer, outside the connections' hooks.
    std::vector<std::unique_ptr<caller_connection>> closed_connections_;
    std::vector<std::shared_ptr<request_flow>> flows_;
    std::unordered_map<std::uint64_t, caller_connection*> by_id_;
    std::uint64_t last_id_{};
    memory_budget memory_;
    instant next_budget_check_{};
    connection_budget descriptors_;
    event_counts limited_{"callers_limited"};
    timer cleanup_timer_;
    bool stopping_{};
    bool closing_idle_{};
    bool refusing_{};
    instant last_start_{instant::max()};
    instant last_started_{};
};

} // namespace quincewing
