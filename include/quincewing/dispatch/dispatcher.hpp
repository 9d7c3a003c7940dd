#pragma once

#include "quincewing/dispatch/fair_share_tracker.hpp"
#include "quincewing/dispatch/rate_bucket.hpp"
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
    /// Requests granted to a server beyond its slots, so that a slot is not idle while a report
    /// and the next grant are in transit.
    std::uint32_t extra_grants{0};
    /// Share of a server's slots that this dispatcher may fill; below 1 where several fill them.
    double slots_share{1.0};
    /// Cost of an answer from another data centre, as processing time for each MiB of it.
    duration remote_cost_per_mib{millis{1100}};
    /// A request is rejected when the time to its deadline is less than this share of the expected
    /// processing time.
    double min_time_share{1.0};
    /// A request that has to wait is rejected when its answer is expected later than this share of
    /// its latency objective: processing takes longer than expected about as often as shorter.
    double objective_share{1.0};
    /// An objective shorter than this multiple of the expected processing time can hardly be met.
    /// Such a request may wait as long as its answer is expected within tight_deadline_share of
    /// the time to its deadline.
    double tight_objective_factor{1.5};
    double tight_deadline_share{0.5};
    /// A grant whose end is never reported is reclaimed this long after the request's deadline.
    duration reclaim_after{seconds{1}};
    /// A waiting request for one server that is gone is rejected after this time. Before, its
    /// requester learns of the key's next owner and asks for a slot there.
    duration follow_owner_time{seconds{1}};
    /// Bounds of the retry-after time given to a rejected request.
    duration min_retry_after{millis{50}};
    duration max_retry_after{seconds{2}};
    /// The same where servers limit their rate: the callers return one after the other.
    duration max_limited_retry_after{seconds{8}};
    /// A server that limits its rate gets a request this often though others cost less, since its
    /// answers tell when the limit ends.
    duration limited_server_interval{seconds{1}};
};

/// The server at which a request got a slot.
struct slot_grant
{
    dispatch_ticket ticket;
    server_id server;
};

/// The request cannot be served in time; the caller may retry after retry_after.
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

/// Decides which waiting request gets which free slot at the backend servers of one group: a
/// single server of a keyed service, or all servers of a service that is not keyed. Does no I/O
/// and reads no clock: the caller passes the time and collects the decisions.
class dispatcher
{
public:
    explicit dispatcher(dispatcher_options options = {}) : options_(options) {}

    /// Replaces the list of servers that may get requests.
    void set_servers(const std::vector<backend_server>& servers);
    /// The rates at which servers may get requests from this dispatcher. Servers that are not in
    /// the map have no limit. To be called after set_servers.
    void set_rate_limits(instant now, const std::map<server_id, request_rate>& limits);
    /// How many hosts must lose a server before it gets no requests; see report_context.
    void set_losing_hosts(std::size_t n) { losing_hosts_ = n; }
    /// Whether any server has a limit.
    [[nodiscard]] bool limited() const;
    /// A request that is submitted again replaces the one that waits; if it has a slot, the grant
    /// is decided again.
    void submit(instant now, const dispatch_ticket& ticket, dispatch_request request);
    /// Withdraws a request, whether it waits or has a slot.
    void cancel(instant now, const dispatch_ticket& ticket);
    /// Frees the slot of a request that was granted one.
    void finish(instant now, const dispatch_ticket& ticket, const attempt_report& report);
    /// Drops all requests of an entry host that was lost, and frees their slots.
    void remove_host(instant now, const host_id& host);
    /// Drops the requests of an entry host but those with these numbers, and frees their slots.
    void keep_only(instant now, const host_id& host, const std::set<std::uint64_t>& numbers);
    /// Rejects requests that can no longer be served in time and reclaims slots whose end was
    /// never reported.
    void tick(instant now);

    /// The decisions since the last call.
    dispatch_decisions take_decisions() { return std::exchange(decisions_, {}); }

    [[nodiscard]] bool is_queued(const dispatch_ticket& ticket) const;
    /// The server at which the request has a slot.
    [[nodiscard]] std::optional<server_id> granted_server(const dispatch_ticket& ticket) const;
    [[nodiscard]] std::size_t queue_length() const { return queue_.size(); }
    [[nodiscard]] std::size_t granted_count() const { return granted_.size(); }
    [[nodiscard]] bool idle() const { return queue_.empty() && granted_.empty(); }

private:
    struct server_state
    {
        backend_server server;
        server_estimate estimate;
        std::uint32_t slots_in_use{};
        /// Only if the server limits its rate.
        std::optional<rate_bucket> bucket;
        instant last_grant_at{};
        /// False: no longer in the list of servers, but requests still run there.
        bool listed{true};
    };
    struct waiting_request
    {
        dispatch_ticket ticket;
        dispatch_request request;
        instant objective;
        instant deadline;
        /// The request may wait only while its answer is expected before this.
        instant answer_due;
        /// Since when no server could run it; empty while one can.
        std::optional<instant> without_server_since;
    };
    struct granted_request
    {
        server_id server;
        instant deadline;
    };

    [[nodiscard]] std::uint32_t free_slots(instant now, const server_state& state) const;
    [[nodiscard]] std::uint32_t slot_limit(instant now, const server_state& state) const;
    /// Slots of a server that answers.
    [[nodiscard]] std::uint32_t usable_slots(instant now, const server_state& state) const;
    server_state* choose_server(instant now, const waiting_request& waiting);
    [[nodiscard]] double cost(const server_state& state, const waiting_request& waiting) const;
    [[nodiscard]] duration expected_wait(instant now, const waiting_request& waiting) const;
    /// Lower bound of the wait with this many requests ahead.
    [[nodiscard]] duration least_wait(instant now, const waiting_request& waiting,
                                      std::size_t ahead) const;
    /// Requests that the server is expected to complete in a microsecond with this many slots.
    [[nodiscard]] static double completion_rate(const server_state& state, std::uint32_t slots);
    /// Wait with this many requests ahead if all servers that could run it limit their rate; empty
    /// otherwise.
    [[nodiscard]] std::optional<duration> limited_wait(instant now, const waiting_request& waiting,
                                                       std::size_t ahead) const;
    [[nodiscard]] duration retry_after(duration wait) const;
    /// Rejects a request that would have to wait for this time.
    void reject_busy(instant now, const waiting_request& waiting, duration wait);
    /// When the caller of a request that a limit leaves no room for should return.
    [[nodiscard]] duration next_return(instant now, duration wait, request_rate rate);
    [[nodiscard]] duration expected_processing_time(const waiting_request& waiting) const;
    [[nodiscard]] bool is_eligible(const server_state& state, const waiting_request& waiting) const;
    /// Order in the queue: the lowest rank goes first.
    [[nodiscard]] std::tuple<double, bool, instant> rank(instant now,
                                                         const waiting_request& waiting) const;
    [[nodiscard]] instant answer_due(instant now, const waiting_request& waiting) const;
    void grant(instant now, const waiting_request& waiting, server_state& state);
    void reject(const waiting_request& waiting, duration retry_after, const char* reason);
    void process_queue(instant now);
    /// Rejects waiting requests that are not expected to be served by their deadline.
    void reject_hopeless(instant now);
    [[nodiscard]] bool lost_its_servers(instant now, waiting_request& waiting) const;
    void remove_from_queue(const dispatch_ticket& ticket);
    void release_slot(const server_id& server);

    dispatcher_options options_;
    fair_share_tracker shares_;
    std::map<server_id, server_state> servers_;
    std::vector<waiting_request> queue_;
    std::map<dispatch_ticket, granted_request> granted_;
    dispatch_decisions decisions_;
    std::size_t losing_hosts_{1};
    /// Callers that were rejected because of limits return until then.
    instant returns_until_{};
};

} // namespace quincewing
