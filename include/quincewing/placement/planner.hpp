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
    /// Weights of load imbalance, of moved shards and of time without service; each at least 0.
    double weight_imbalance{1};
    double weight_churn{1};
    double weight_unavailable{1};
    /// Expected time for which a shard is not served during a planned move.
    duration move_downtime{millis{100}};
    /// Servers that don't answer at present; no shards are moved to them.
    std::set<server_id> lost_servers;
};

/// Expected cost and effect of a plan.
struct plan_forecast
{
    /// Highest load of a server divided by the mean load, before and after the plan.
    double imbalance_before{};
    double imbalance_after{};
    std::size_t shards_moved{};
    /// Share of the service's shards that move.
    double churn{};
    /// Time without service, summed over the moved shards.
    duration unavailable_time{};
};

struct plan
{
    /// The record to append once an operator confirms the plan.
    plan_confirmed record;
    plan_forecast forecast;
};

/// Load of each shard, in any unit; a shard that is missing has load 1.
using shard_loads = std::map<shard_id, double>;

/// The ratio of highest to mean load up to which moving shards isn't worth its cost. It grows with
/// the weights of churn and unavailability relative to the weight of imbalance.
double tolerated_imbalance(const planner_options& options);

/// Returns a plan for the intent, or why it can't be carried out. The caller sets the plan's id and
/// operator.
tl::expected<plan, std::string> make_plan(const log_state& state, const intent& request,
                                          const shard_loads& loads, const planner_options& options);

} // namespace quincewing
