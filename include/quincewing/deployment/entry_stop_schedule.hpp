#pragma once

#include "quincewing/base/stop_signal.hpp"
#include "quincewing/base/time.hpp"

namespace quincewing {

/// What a stopping entry host does when.
struct entry_stop_schedule
{
    /// From here on it closes the connections of callers that are idle.
    instant close_idle{};
    /// From here on it starts no request: it refuses new ones and those that are not at a server.
    instant refuse_unsent{};
    /// The last part of the grace period begins, whenever the signal was sent. Servers have the
    /// time up to here.
    instant last_part{};
    /// It answers what servers have not answered by then.
    instant answer_rest{};
    /// It ends though answers are still being sent: the process is about to be killed.
    instant end{};
};

/// When to do so on a loop whose timers are late by so much.
instant answer_rest_at(const entry_stop_schedule& it, duration late);
instant end_at(const entry_stop_schedule& it, duration late);

/// grace: time from the stop signal until the process is killed. Where it is not known when the
/// signal was sent, the steps are early rather than late.
entry_stop_schedule make_entry_stop_schedule(const stop_signal& signal, duration grace);

} // namespace quincewing
