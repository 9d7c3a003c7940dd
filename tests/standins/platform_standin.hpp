#pragma once

#include "quincewing/net/event_loop.hpp"

#include <string>

namespace quincewing::standin {

struct platform_standin_options
{
    std::string address;
    double appends_per_second{300};
    double retention_ms{24.0 * 3600 * 1000};
    double hosts_lag_ms{2000};
    /// Entry hosts' addresses, separated by commas.
    std::string hosts;
};

/// The platform: append-only streams and a lagging host list. Runs until the loop stops.
int run_platform(event_loop& loop, const platform_standin_options& options);

} // namespace quincewing::standin
