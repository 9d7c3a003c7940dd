#pragma once

#include "quincewing/assignment/load_map.hpp"

#include <cstddef>
#include <set>
#include <vector>

namespace quincewing {

struct balance_options
{
    /// A server is relieved when it is busier than this share of its slots,
    double busy{0.7};
    /// and busier than the one that would take the keys by at least this.
    double gap{0.35};
    /// A move has to make the busier server less busy by this share of its slots.
    double least_gain{0.08};
    /// Standard errors by which a rate must stand out before it is believed.
    double certainty{2.0};
    /// Moves of one plan: each one stops its keys for about one request's time.
    std::size_t most_moves{8};
    /// Most ranges of a service. Each is renewed by a call of its own once a second, so the bound
    /// follows from the calls that one host can make.
    std::size_t ranges_most{400};
    /// Services with many servers may have this many ranges a server instead, if that is more.
    std::size_t ranges_per_server{2};
    /// Pieces into which the keys of a lost server are divided.
    std::size_t pieces{4};
    /// Requests a second on all keys of a service that are assumed beside what was seen, so that
    /// keys without traffic are spread evenly.
    double assumed_rate{4};
    /// Time of work of a request while none was seen.
    duration assumed_work{millis{100}};
};

/// Keys that a server is to hold from now on.
struct planned_move
{
    service_id service;
    key_range keys;
    server_id to;
};

struct balance_input
{
    const assignment_table& table;
    /// Servers that take keys: announced, not draining.
    const backend_servers& ready;
    const load_map& load;
    /// Keyed services.
    const std::set<service_id>& services;
};

/// Share of a server's slots that its keys keep busy; above 1 it is asked for more than it can do.
struct server_utilization
{
    server_id server;
    double utilization{};
};

/// How busy the keys of a service keep its servers, as the planner sees it; the busiest first.
std::vector<server_utilization> estimate_utilizations(const balance_input& input,
                                                      const balance_options& options,
                                                      const service_id& service);

/// Decides which keys move: those that nobody holds, those of servers that left or leave, and hot
/// ones off overloaded servers. Ranges that are still moving stay as they are.
std::vector<planned_move> plan_moves(const balance_input& input, const balance_options& options);

} // namespace quincewing
