#include "quincewing/deployment/entry_stop_schedule.hpp"

#include <algorithm>

namespace quincewing {

namespace {

// The load balancer checks readiness once a second and removes a host after two failed checks.
constexpr millis balancer_detection_time{2600};
// Connections that the load balancer opened just before that arrive within this time.
constexpr millis late_arrival_time{300};
// Time that is kept at the end for the last responses to leave the socket buffers.
constexpr millis flush_time{350};
// Servers may work in all of the grace period but this last part of it.
constexpr int last_part_of_grace = 6;

} // namespace

// Half of the grace period at least is left for requests that are at a server when no more are
// started.
entry_stop_schedule make_entry_stop_schedule(duration grace)
{
    const auto refuse_unsent =
        std::min<duration>(balancer_detection_time + late_arrival_time, grace / 2);
    return {.close_idle = std::min<duration>(balancer_detection_time, refuse_unsent),
            .refuse_unsent = refuse_unsent,
            .answer_rest = grace - std::min<duration>(flush_time, grace / last_part_of_grace)};
}

} // namespace quincewing
