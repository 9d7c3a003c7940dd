#pragma once

#include "quincewing/base/time.hpp"
#include "quincewing/placement/intent.hpp"
#include "quincewing/state/log_state.hpp"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <tl/expected.hpp>

namespace quincewing {

struct planner_options
{
    /// Weights of the brief's three measures; each at least 0.
    double weight_imbalance{1};
    double weight_churn{1};
    double weight_unavailable{1};
    /// Time for which a shard is not served while it moves as planned.
    duration move_downtime{millis{100}};
    /// Servers that do not answer now; nothing is moved onto them.
    std::set<server_id> lost_servers;
};

/// What a plan is expected to cost and to bring.
struct plan_forecast
{
    /// Load of the fullest server over the mean, before and after.
    double imbalance_before{};
    double imbalance_after{};
    std::size_t shards_moved{};
    /// Share of the service's shards that move.
    double churn{};
    /// Sum over the moved shards of the time without service.
    duration unavailable_time{};
};

struct plan
{
    plan_confirmed record;
    plan_forecast forecast;
};

/// Load of each shard; a shard that is missing counts as 1.
using shard_loads = std::map<shard_id, double>;

/// The most by which the fullest server may exceed the mean before a move pays: dearer moves
/// leave more imbalance standing.
double tolerated_imbalance(const planner_options& options);

/// A plan for the intent, or why there is none. The plan's id and operator are the caller's.
tl::expected<plan, std::string> make_plan(const log_state& state, const intent& what,
                                          const shard_loads& loads, const planner_options& options);

} // namespace quincewing
