#pragma once

#include "quincewing/base/time.hpp"

namespace quincewing {

/// What the deployment's operators demand.
struct deployment_bounds
{
    /// A leaving server may get requests for this long after it was announced.
    duration drain{seconds{2}};
    /// A new configuration is in force after this.
    duration configuration{seconds{2}};
    /// From the signal to stop until the process is ended by force.
    duration grace{seconds{6}};
    /// Repeats of requests at the servers of a service, as a share of its requests,
    double repeat_share{0.2};
    /// over this window,
    duration repeat_window{seconds{10}};
    /// and this many beside.
    double repeat_extra{50};
    /// Longest grant of keys.
    duration longest_hold{seconds{10}};
};

} // namespace quincewing
