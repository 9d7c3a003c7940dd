#pragma once

#include "quincewing/deployment/deployment_view.hpp"

namespace quincewing {

struct owner_wait_options
{
    /// Keys that move are released within about the time of one request.
    duration max_wait{millis{400}};
    /// Share of the time to the deadline that may be spent on waiting.
    double max_share_of_time_left{0.3};
};

/// How much longer a request may wait until the grant of its key is in force; zero: reject it now.
/// There is no wait for a key without a usable owner, as after the loss of its server.
duration remaining_owner_wait(const key_owner& owner, duration waited, duration time_left,
                              const owner_wait_options& options = {});

} // namespace quincewing
