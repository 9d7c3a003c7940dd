#pragma once

#include "quincewing/base/time.hpp"

namespace quincewing {

/// What a stopping entry host does when. Times count from the stop signal.
struct entry_stop_schedule
{
    /// From here on it closes the connections of callers that are idle.
    duration close_idle{};
    /// From here on it starts no request: it refuses new ones and those that are not at a server.
    duration refuse_unsent{};
    /// It answers what servers have not answered by then, and ends.
    duration answer_rest{};
};

/// grace: time from the stop signal until the process is killed.
entry_stop_schedule make_entry_stop_schedule(duration grace);

} // namespace quincewing
