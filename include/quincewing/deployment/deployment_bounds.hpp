#pragma once

#include "quincewing/base/time.hpp"

namespace quincewing {

/// Limits that the operators set for the deployment.
struct deployment_bounds
{
    /// Longest time for which a server may still get requests after it announced that it leaves.
    duration drain{seconds{2}};
    /// Time within which a new configuration must be in force.
    duration configuration{seconds{2}};
    /// A configuration that was in force this long ago may be taken for the one in force, with time
    /// left to act upon it.
    [[nodiscard]] duration configuration_trust() const { return configuration - millis{500}; }
    /// Time within which a data centre that is evacuated gets no more requests.
    duration evacuation{seconds{5}};
    /// Time from the stop signal until the process is killed.
    duration grace{seconds{6}};
    /// Retries at the servers of a service may be at most this share of its requests,
    double repeat_share{0.2};
    /// counted over this window,
    duration repeat_window{seconds{10}};
    /// plus this fixed number.
    double repeat_extra{50};
    /// Longest time for which keys may be granted.
    duration longest_hold{seconds{10}};
};

} // namespace quincewing
