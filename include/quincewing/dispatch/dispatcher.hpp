#pragma once

#include "quincewing/dispatch/kind_shares.hpp"
#include "quincewing/dispatch/server_estimate.hpp"
#include "quincewing/routing/backend_server.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

namespace quincewing {

struct dispatcher_options
{
    estimate_options estimate;
    /// Requests given to a server beyond its slots, so that a slot is not idle for the time that
    /// a report and the next place are under way.
    std::uint32_t ahead{0};
    /// Share of a server's slots that this dispatcher may fill; below 1 where several fill them.
    double slots_share{1.0};
    /// Waiting that an answer from the caller's data centre is worth, for each MiB of it.
    duration near_per_mib{millis{1100}};
    /// A request is refused when less than this share of the usual time of work would be left.
    double least_time_share{1.0};
    /// A request that has to wait is refused when its answer is expected later than this share of
    /// its objective: work takes longer than usual about as often as shorter.
    double objective_share{1.0};
    /// A request whose objective is less than this many times the usual work can hardly be in
    /// time. It may wait while its answer is expected within the share of the time that it has
    /// left: far from its deadline.
    double room_to_wait{1.5};
    double late_share{0.5};
    /// Places whose end nobody reported are taken back after the request's time and this.
    duration forget_after{seconds{1}};
    /// Bounds of the time after which a refused request is told to come back.
    duration come_back_least{millis{50}};
    duration come_back_most{seconds{2}};
};

/// The place that a request was given.
struct slot_grant
{
    dispatch_ticket ticket;
    server_id server;
};

/// It can not be served in time; come back after this.
struct dispatch_rejection
{
    dispatch_ticket ticket;
    duration retry_after{};
    const char* reason{""};
};

struct dispatch_decisions
{
    std::vector<slot_grant> grants;
    std::vector<dispatch_rejection> rejections;
};

/// Decides which waiting request gets which free place at the backend servers of one group: a
/// keyed server, or all servers of a service that is not keyed. Pure: time comes in, decisions
/// are taken by take().
class dispatcher
{
public:
    explicit dispatcher(dispatcher_options options = {}) : options_(options) {}

    /// The servers that may get work now.
    void set_servers(const std::vector<backend_server>& servers);
    void submit(instant now, const dispatch_ticket& ticket, dispatch_request request);
    /// The request is not wanted any more, waiting or placed.
    void cancel(instant now, const dispatch_ticket& ticket);
    void finish(instant now, const dispatch_ticket& ticket, const attempt_report& report);
    /// All of a host's requests are gone with it.
    void remove_host(instant now, const host_id& host);
    /// Refuses what waits in vain and takes back places that were lost.
    void tick(instant now);

    dispatch_decisions take_decisions() { return std::exchange(decisions_, {}); }

    [[nodiscard]] bool is_queued(const dispatch_ticket& ticket) const;
    [[nodiscard]] std::size_t queue_length() const { return queue_.size(); }
    [[nodiscard]] std::size_t granted_count() const { return placed_.size(); }
    [[nodiscard]] bool idle() const { return queue_.empty() && placed_.empty(); }

private:
    struct server_state
    {
        backend_server server;
        server_estimate estimate;
        std::uint32_t in_use{};
        bool announced{true};
    };
    struct waiting_request
    {
        dispatch_ticket ticket;
        dispatch_request request;
        instant objective;
        instant end;
        /// Its answer has to be expected before this for it to wait.
        instant due;
    };
    struct placed_request
    {
        server_id server;
        instant end;
    };

    [[nodiscard]] std::uint32_t room(instant now, const server_state& it) const;
    [[nodiscard]] std::uint32_t limit(instant now, const server_state& it) const;
    server_state* choose(instant now, const waiting_request& it);
    [[nodiscard]] double cost(const server_state& it, const waiting_request& request) const;
    [[nodiscard]] duration expected_wait(instant now, const waiting_request& it) const;
    [[nodiscard]] duration usual_work(const waiting_request& it) const;
    [[nodiscard]] bool fits(const server_state& it, const waiting_request& request) const;
    /// Order in the queue: the least goes first.
    [[nodiscard]] std::tuple<double, bool, instant> rank(instant now,
                                                         const waiting_request& it) const;
    [[nodiscard]] instant due(instant now, const waiting_request& it) const;
    void place(instant now, const waiting_request& it, server_state& server);
    void refuse(const waiting_request& it, duration retry_after, const char* reason);
    void serve_queue(instant now);
    void release(const server_id& server);

    dispatcher_options options_;
    kind_shares shares_;
    std::map<server_id, server_state> servers_;
    std::vector<waiting_request> queue_;
    std::map<dispatch_ticket, placed_request> placed_;
    dispatch_decisions decisions_;
};

} // namespace quincewing
