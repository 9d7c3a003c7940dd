#pragma once

#include "quincewing/net/event_loop.hpp"

#include <string>

namespace quincewing::standin {

struct relay_standin_options
{
    std::string address;
    std::string target;
    /// Where it takes orders over HTTP.
    std::string control;
};

/// A TCP relay that can cut, delay, or silence the connections that are open.
int run_relay(event_loop& loop, const relay_standin_options& options);

} // namespace quincewing::standin
