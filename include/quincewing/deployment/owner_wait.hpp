#pragma once

#include "quincewing/deployment/deployment_view.hpp"

namespace quincewing {

struct owner_wait_options
{
    /// Keys that move are released within about the time of one request.
    duration longest{millis{400}};
    /// Part of the time that is left which may be spent on waiting.
    double left_share{0.3};
};

/// How much longer a request may wait for the owner of its key to have it in force; zero: refuse
/// it now. Keys that nobody can hold soon, because their server is gone, are not waited for.
duration remaining_owner_wait(const key_owner& owner, duration waited, duration left,
                              const owner_wait_options& options = {});

} // namespace quincewing
