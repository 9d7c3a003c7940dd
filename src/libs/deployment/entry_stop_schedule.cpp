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
// Time from the end of the process until it would be killed.
constexpr millis time_before_kill{60};
// Servers may work in all of the grace period but this last part of it.
constexpr int last_part_of_grace = 6;

/// The signal was sent then or later. A process that was frozen cannot tell how long it was.
instant earliest_time_of(const stop_signal& it, duration grace)
{
    return std::max(it.sent_after, it.received_at - grace / last_part_of_grace);
}

} // namespace

// Half of the grace period at least is left for requests that are at a server when no more are
// started. Servers get the time up to the last part of the grace period, whenever the signal was
// sent.
entry_stop_schedule make_entry_stop_schedule(const stop_signal& signal, duration grace)
{
    const auto from = earliest_time_of(signal, grace);
    const auto last_part = grace / last_part_of_grace;
    const auto flush = std::min<duration>(flush_time, last_part);
    const auto last_part_from = signal.received_at + grace - last_part;
    // Refusing early costs callers little: another host takes their requests.
    const auto refuse_unsent =
        signal.sent_after +
        std::min<duration>(balancer_detection_time + late_arrival_time, grace / 2);
    return {.close_idle = std::min(signal.received_at + balancer_detection_time, refuse_unsent),
            .refuse_unsent = refuse_unsent,
            .last_part = last_part_from,
            .answer_rest = std::max(from + grace - flush, last_part_from),
            .end = std::max(from + grace - std::min<duration>(time_before_kill, flush / 2),
                            last_part_from)};
}

// A late loop answers late, and writes what it answered in its next turn.
instant answer_rest_at(const entry_stop_schedule& it, duration late)
{
    return std::max(it.answer_rest - 2 * late, it.last_part);
}

instant end_at(const entry_stop_schedule& it, duration late)
{
    return std::max(it.end - late, answer_rest_at(it, late));
}

} // namespace quincewing
