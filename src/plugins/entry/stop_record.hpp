#pragma once

#include "quincewing/net/stop_signals.hpp"

#include <algorithm>

namespace quincewing {

/// What a host notes of its stop, for the log.
struct stop_record
{
    stop_signal signal;
    /// Largest delay of a tick since the stop began.
    duration tick_delay{};

    void note_tick(duration late) { tick_delay = std::max(tick_delay, late); }
};

} // namespace quincewing
