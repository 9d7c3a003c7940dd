#pragma once

#include "quincewing/base/time.hpp"
#include "quincewing/net/stop_signals.hpp"

namespace quincewing {

/// What a stopping entry host does when.
struct entry_stop_schedule
{
    /// From here on it closes the connections of callers that are idle.
    instant close_idle{};
    /// From here on it starts no request: it refuses new ones and those that are not at a server.
    instant refuse_unsent{};
    /// It answers what servers have not answered by then, and ends.
    instant answer_rest{};
};

/// grace: time from the stop signal until the process is killed. Where it is not known when the
/// signal was sent, the steps are early rather than late.
entry_stop_schedule make_entry_stop_schedule(const stop_signal& signal, duration grace);

} // namespace quincewing
