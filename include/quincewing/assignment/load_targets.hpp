#pragma once

#include "quincewing/base/request_rate.hpp"
#include "quincewing/base/time.hpp"

#include <vector>

namespace quincewing {

/// Model of the response time: processing_time * (1 + queueing_weight * u^2 / (1 - u)) at
/// utilization u.
struct load_target_options
{
    /// Weight of the delay by queueing, which grows with the utilization, against the processing
    /// time.
    double queueing_weight{1.5};
    /// Highest utilization (share of slots in use) that is planned.
    double max_utilization{0.8};
};

/// What the target of a server is computed from.
struct server_speed
{
    duration processing_time{};
    /// Share of its slots that one request per second uses.
    double cost{};
};

/// Expected time from sending a request to its answer at this utilization.
duration expected_response(const server_speed& server, double utilization,
                           const load_target_options& options = {});

/// The rates at which all servers that get requests answer equally fast. Servers that would be
/// slower even when idle get none. A total beyond what the servers take gives each its rate at
/// max_utilization.
std::vector<request_rate> plan_load_targets(const std::vector<server_speed>& servers,
                                            request_rate total,
                                            const load_target_options& options = {});

} // namespace quincewing
