#pragma once

#include "quincewing/dispatch/arrival_rates.hpp"
#include "quincewing/dispatch/data_centre_choice.hpp"
#include "quincewing/dispatch/fair_share_tracker.hpp"
#include "quincewing/dispatch/kept_connections.hpp"
#include "quincewing/dispatch/key_shares.hpp"
#include "quincewing/dispatch/server_pool.hpp"
#include "quincewing/dispatch/waiting_queue.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace quincewing {

/// Which waiting request goes first.
enum class queue_order : std::uint8_t
{
    /// Classes share the slots; a more urgent one gets a slightly larger share.
    fair,
    /// Where requests of different priority compete: what can be in time first, and while the
    /// servers are overloaded the most urgent of that; each class keeps a floor. Elsewhere as fair.
    rank
};

struct dispatcher_options
{
    server_pool_options pool;
    queue_order order{queue_order::fair};
    /// With queue_order::rank: a class whose share of granted requests is below this part of the
    /// share of all classes goes first, so that none is starved.
    double floor_share{1.0 / 3};
    /// With queue_order::rank: servers are overloaded from the moment at which requests arrive at
    /// more than the first share of the rate at which the servers complete them, until they arrive
    /// at less than the second share.
    double overload_share{1.0};
    double overload_end_share{0.85};
    /// Under overload a request that has to wait must be expected in time with this many mean
    /// deviations of the processing time to spare. A longer queue completes no more requests and
    /// makes them late.
    double wait_margin{1.0};
    /// Without overload a request may wait for an answer that is late, within this share of the
    /// time to its deadline.
    double late_wait_share{0.6};
    /// Least part of the completions that is assumed to be left for requests behind more urgent
    /// ones, since arrivals vary.
    double least_capacity_share{0.1};
    transfer_terms transfer;
    /// Time by which a server without an idle connection of the host must be faster; zero: not
    /// heeded.
    duration connection_cost{millis{0}};
    /// A slow server that has answered nobody for this long is taken for as fast as the mean, and
    /// so gets a request that shows what it does.
    duration estimate_memory{seconds{3}};
    /// Extra grants are made while the waiting requests number at least this many per server of the
    /// pool; 0.125 is one for every eight servers. With fewer, the next slot that any server frees
    /// comes sooner than one at a given server.
    double many_waiting_per_server{0.125};
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
    /// A server that says that work takes this many times as long as in its mean gets no request
    /// that would be late there and in time elsewhere. By its answers alone a slow server is not
    /// left out: without requests its estimate would stay as it is, and its slots unused.
    double slow_server_factor{1.5};
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
    /// Callers honour a retry-after of up to this share of the time that they have left.
    double max_retry_share{0.3};
    /// Part of the completions that is planned for callers that return.
    double returning_share{0.5};
    /// A server that limits its rate gets a request this often though others cost less, since its
    /// answers tell when the limit ends.
    duration limited_server_interval{seconds{1}};
};

/// The server at which a request got a slot.
struct slot_grant
{
    dispatch_ticket ticket;
    server_id server;
    slot_kind kind{slot_kind::own};
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
    explicit dispatcher(dispatcher_options options = {}) : options_(options), pool_(options.pool) {}

    /// Replaces the list of servers that may get requests.
    void set_servers(const std::vector<backend_server>& servers) { pool_.set_servers(servers); }
    /// The rates at which servers may get requests from this dispatcher. Servers that are not in
    /// the map have no limit. To be called after set_servers.
    void set_rate_limits(instant now, const std::map<server_id, request_rate>& limits)
    {
        pool_.set_rate_limits(now, limits);
    }
    /// How many hosts must lose a server before it gets no requests; see report_context.
    void set_losing_hosts(std::size_t n) { losing_hosts_ = n; }
    /// Whether any server has a limit.
    [[nodiscard]] bool limited() const { return pool_.limited(); }
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

    [[nodiscard]] bool is_queued(const dispatch_ticket& ticket) const
    {
        return queue_.contains(ticket);
    }
    /// The server at which the request has a slot.
    [[nodiscard]] std::optional<server_id> granted_server(const dispatch_ticket& ticket) const;
    [[nodiscard]] std::size_t queue_length() const { return queue_.size(); }
    [[nodiscard]] std::size_t granted_count() const { return granted_.size(); }
    [[nodiscard]] bool idle() const { return queue_.empty() && granted_.empty(); }

private:
    struct granted_request
    {
        server_id server;
        instant deadline;
        /// Estimated share of the time at the server that the request spends in a slot. Below 1 if
        /// it was granted beyond the slots and first waits in the server's own queue.
        double share_in_slot{1};
    };

    // Order and placement.
    [[nodiscard]] flow_rank rank_of(const flow_id& flow, bool late) const;
    [[nodiscard]] waiting_queue::rank_function rank_function() const;
    /// Requests due earlier can't be in time.
    [[nodiscard]] instant late_before(instant now) const;
    [[nodiscard]] bool below_floor(std::uint64_t traffic_class) const;
    void process_queue(instant now);
    void grant_slots(instant now, slot_kind kind);
    /// Enough requests wait for extra grants to be made.
    [[nodiscard]] bool many_waiting() const;
    /// usual: the mean processing time over all servers.
    pooled_server* choose_server(instant now, const waiting_request& waiting,
                                 const std::vector<pooled_server*>& free, duration usual);
    [[nodiscard]] data_centre_verdict place(instant now, const waiting_request& waiting,
                                            const pooled_server* own, const pooled_server* other,
                                            duration usual) const;
    /// The server with an idle connection of the host, if that makes up for its cost.
    pooled_server* connected_server(instant now, const waiting_request& waiting,
                                    pooled_server* best, duration usual);
    [[nodiscard]] bool better_elsewhere(instant now, const waiting_request& waiting,
                                        const pooled_server& server, duration usual) const;
    [[nodiscard]] double cost(instant now, const pooled_server& state, duration usual) const;
    /// When an answer is expected if the request waits for a slot in its own data centre.
    [[nodiscard]] std::optional<instant> own_after_wait(instant now, const waiting_request& waiting,
                                                        const pooled_server* own) const;
    void grant(instant now, const waiting_request& waiting, pooled_server& server);

    // Waits and rejections.
    void note_load(instant now, const pool_capacity& capacity);
    void set_due(instant now, waiting_request& waiting, const pool_capacity& capacity) const;
    [[nodiscard]] duration expected_wait(instant now, const waiting_request& waiting,
                                         const pool_capacity& capacity) const;
    /// Lower bound of the wait with this many requests ahead.
    [[nodiscard]] duration least_wait(instant now, const waiting_request& waiting,
                                      const pool_capacity& capacity, std::size_t ahead) const;
    /// The part of the completions that more urgent arrivals leave.
    [[nodiscard]] double left_per_us(instant now, const waiting_request& waiting,
                                     double completions_per_us) const;
    /// Rate of the arrivals that go before requests of the flow.
    [[nodiscard]] request_rate rate_before(instant now, const flow_id& flow) const;
    [[nodiscard]] bool has_to_be_rejected(instant now, const waiting_request& waiting,
                                          const pool_capacity& capacity, duration wait) const;
    /// Rejects a request that would have to wait for this time.
    void reject_busy(instant now, const waiting_request& waiting, const pool_capacity& capacity,
                     duration wait);
    void reject(const waiting_request& waiting, duration retry_after, const char* reason);
    /// Rejects waiting requests that are not expected to be served by their deadline.
    void reject_hopeless(instant now);
    [[nodiscard]] bool lost_its_servers(instant now, const waiting_request& waiting);

    dispatcher_options options_;
    fair_share_tracker shares_;
    arrival_rates arrivals_;
    key_shares keys_;
    server_pool pool_;
    waiting_queue queue_;
    kept_connections connections_;
    std::map<dispatch_ticket, granted_request> granted_;
    /// Requests that no server could run, and since when.
    std::map<dispatch_ticket, instant> without_server_;
    dispatch_decisions decisions_;
    std::size_t losing_hosts_{1};
    /// Requests come faster than the servers complete them. Otherwise a queue is a matter of
    /// chance, and what it makes late still gets an answer without taking the place of others.
    bool overloaded_{};
    /// Requests are ordered by rank; see queue_order::rank.
    bool by_rank_{};
    /// Callers that were rejected return until then: because of limits, and for want of slots.
    instant limited_returns_until_{};
    instant returns_until_{};
};

} // namespace quincewing
