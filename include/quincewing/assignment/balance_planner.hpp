#pragma once

#include "quincewing/assignment/load_map.hpp"
#include "quincewing/base/request_rate.hpp"

#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace quincewing {

struct balance_options
{
    /// Keys are moved off a server whose utilization (share of its slots in use) is above this,
    double overload_threshold{0.7};
    /// and exceeds the utilization of the receiving server by at least this much.
    double min_utilization_gap{0.35};
    /// Least drop in the higher of the two utilizations for which a move is made.
    double min_utilization_gain{0.08};
    /// The same as a share of the utilization that moves: a key that no server can carry is not
    /// passed on for the sake of the few requests beside it.
    double min_gain_of_moved{0.1};
    /// Standard errors by which a server's utilization must exceed the threshold to count as
    /// overload.
    double min_standard_errors{2.0};
    /// Utilization down to which a server that limits its rate is relieved, and below which it is
    /// not: its answers tell when the limit ends.
    double limited_target{0.5};
    double min_limited_utilization{0.25};
    /// Most moves in one plan: this many, or this many for each server of the service if that is
    /// more. The keys of a move are not served for about the time of one request.
    std::size_t min_max_moves{8};
    double max_moves_per_server{0.5};
    /// A range is cut at its first busy key if more than this share of its keys come before.
    double min_cold_share{0.1};
    /// Most ranges of one service. Each range needs a renewal call every second, so the limit
    /// follows from the number of calls that one host can make.
    std::size_t max_ranges{400};
    /// Most ranges per server of the service; the larger of the two limits applies.
    std::size_t max_ranges_per_server{2};
    /// Most ranges of a service in any case: the table is one record of the store, whose size is
    /// limited.
    std::size_t max_ranges_of_table{3000};
    /// Most parts into which a range without an owner is divided.
    std::size_t max_parts{4};
    /// Requests per second, over all keys of a service, that are added to the measured rate so that
    /// keys without traffic are spread evenly.
    double assumed_rate{4};
    /// Processing time of a request before any was measured.
    duration assumed_processing_time{millis{100}};
    /// A key that asks for this many times what the fastest server gives is not moved like others.
    double heavy_key_utilization{2.0};
    /// It goes to a server whose cost is below this share of its present server's, and then stays
    /// for this time.
    double heavy_key_cost_share{0.75};
    duration heavy_key_rest{seconds{10}};
    /// A server that usually takes this many times as long as another, beyond the standard errors
    /// of both, is slower and gives keys to it.
    double slower_factor{1.2};
    /// Share of its requests that a slower server keeps, so that its speed stays measured.
    double min_kept_share{0.15};
    /// Least share of a server's requests worth a move to a faster one.
    double min_moved_share{0.2};
    /// Keys that moved within this time are not moved to a faster server.
    duration range_rest{seconds{5}};
    /// Least gain in the expected response time of the requests that move, as a share of it. Their
    /// keys are not served for about the time of one request.
    double min_response_gain_share{0.25};
    /// Most moves from slower to faster servers in one plan, per server of the service; at least
    /// one move is allowed. Keys are not served while they move, so a table changes over some
    /// seconds.
    double max_speed_moves_per_server{0.06};
};

/// A move that was planned a short time ago.
struct recent_move
{
    service_id service;
    key_range keys;
    duration age{};
};

/// Assigns the keys to a server.
struct planned_move
{
    service_id service;
    key_range keys;
    server_id to;
};

struct balance_input
{
    const assignment_table& table;
    /// Servers that may be assigned keys: registered and not draining.
    const backend_servers& ready;
    const load_map& load;
    /// Keyed services; only these are planned for.
    const std::set<service_id>& services;
    /// The rates that servers take, of those that limit theirs.
    const std::map<server_id, request_rate>& rate_limits;
    std::vector<recent_move> recent_moves{};
};

/// Expected share of a server's slots in use, or of the rate that it takes if it limits that;
/// above 1 the server is overloaded.
struct server_utilization
{
    server_id server;
    double utilization{};
};

/// Utilization of the servers of a service as the planner estimates it, in descending order.
std::vector<server_utilization> estimate_utilizations(const balance_input& input,
                                                      const balance_options& options,
                                                      const service_id& service);

/// Plans the moves of keys: keys without an owner, keys of servers that left, restarted or are
/// draining, and hot keys of overloaded servers. Ranges whose previous owner may still hold them
/// are not moved.
std::vector<planned_move> plan_moves(const balance_input& input, const balance_options& options);

} // namespace quincewing
