#pragma once

#include "quincewing/dispatch/waiting_request.hpp"

#include <boost/multi_index/member.hpp>
#include <boost/multi_index/ranked_index.hpp>
#include <boost/multi_index_container.hpp>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace quincewing {

/// Order of flows, and of the requests of a flow that can and can't be in time: the lowest goes
/// first, and false is lower than true. Members that a policy does not use are equal for all.
struct flow_rank
{
    bool above_floor{};
    bool late{};
    std::uint32_t priority{};
    /// Its key has had more than its share of the server.
    bool above_key_share{};
    double share{};
    bool late_in_class{};

    auto operator<=>(const flow_rank&) const = default;
};

/// Place of a request within its flow.
struct queue_position
{
    instant due;
    std::uint64_t arrival{};

    auto operator<=>(const queue_position&) const = default;
};

/// Waiting requests, by flow and due time. Insertion, removal and the number of requests ahead
/// cost the logarithm of the length, times the number of flows.
class waiting_queue
{
public:
    struct entry
    {
        queue_position position;
        waiting_request waiting;
    };
    /// Rank of the requests of a flow that can be in time, or that are late.
    using rank_function = std::function<flow_rank(const flow_id&, bool late)>;

    void insert(waiting_request it);
    bool erase(const dispatch_ticket& ticket);
    [[nodiscard]] bool contains(const dispatch_ticket& ticket) const
    {
        return places_.contains(ticket);
    }
    [[nodiscard]] bool empty() const { return places_.empty(); }
    [[nodiscard]] std::size_t size() const { return places_.size(); }
    void erase_if(const std::function<bool(const waiting_request&)>& predicate);
    /// Number of requests that go before this one, which need not be in the queue. Requests that
    /// are due earlier than late_before can't be in time.
    [[nodiscard]] std::size_t ahead_of(const waiting_request& it, const rank_function& rank_of,
                                       instant late_before) const;

private:
    using position_index = boost::multi_index::member<entry, queue_position, &entry::position>;
    using flow_requests = boost::multi_index_container<
        entry, boost::multi_index::indexed_by<boost::multi_index::ranked_unique<position_index>>>;
    struct place
    {
        flow_id flow;
        queue_position position;
    };

    std::map<flow_id, flow_requests> flows_;
    std::map<dispatch_ticket, place> places_;
    std::uint64_t arrivals_{};

    friend class queue_walk;
};

/// Visits the requests of a queue in order. The request that was visited last may be erased.
class queue_walk
{
public:
    queue_walk(const waiting_queue& queue, waiting_queue::rank_function rank_of,
               instant late_before);

    /// The next request; nullptr after the last.
    const waiting_request* next();
    /// Call when ranks have changed.
    void update_ranks();

private:
    using iterator = waiting_queue::flow_requests::const_iterator;
    struct segment
    {
        flow_id flow;
        bool late{};
        flow_rank rank;
        iterator next;
        /// Requests that are not visited yet, at least one.
        std::size_t remaining{};
    };

    waiting_queue::rank_function rank_of_;
    std::vector<segment> segments_;
};

} // namespace quincewing
