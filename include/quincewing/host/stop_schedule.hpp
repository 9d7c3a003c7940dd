#pragma once

#include "quincewing/base/stop_signal.hpp"
#include "quincewing/base/time.hpp"

namespace quincewing {

/// The moments of a graceful stop.
struct stop_schedule
{
    /// Until then the balancer may still give callers this host.
    instant noticed_at{};
    /// A request that is read later is begun only if its deadline ends before the stop does.
    instant begin_until{};
    /// Requests that are not at a server are refused from then on: other hosts can take them.
    instant refuse_at{};
    /// Requests that are at a server are given up and answered.
    instant answer_all_at{};
    /// The process has ended.
    instant ends_at{};
};

/// The schedule of a stop that may take this long from its signal on.
stop_schedule make_stop_schedule(const stop_signal& signal, duration within, duration notice);

/// The same stop without a wait for servers from now on.
stop_schedule end_at_once(stop_schedule it, instant now);

} // namespace quincewing
