#pragma once

#include "quincewing/base/stop_signal.hpp"

#include <algorithm>
#include <optional>

namespace quincewing {

/// What a host notes of its stop.
struct stop_record
{
    stop_signal signal;
    /// Largest delay of a tick since the stop began.
    duration tick_delay{};
    /// What servers had not answered was answered.
    bool rest_answered{};
    /// Since then all answers have left the process.
    std::optional<instant> all_sent_at;

    void note_tick(duration late) { tick_delay = std::max(tick_delay, late); }
};

} // namespace quincewing
