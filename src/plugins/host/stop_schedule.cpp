#include "quincewing/host/stop_schedule.hpp"

#include <algorithm>

namespace quincewing {

namespace {

// Parts of the grace period that are kept for refusals and for the last answers.
constexpr int refusals_part = 6;
constexpr int last_answers_part = 12;
constexpr millis most_for_last_answers{300};
// Requests that are read in the first part may be at work when the stop ends.
constexpr int first_part = 2;
// A process that did not run learns late of a signal, but was perhaps sent it only then. Together
// with the time for the last answers this is no more than the last sixth of the stop, so that
// requests at servers have the rest in any case.
constexpr int most_late_part = 12;

instant begin_of_stop(const stop_signal& signal, duration within)
{
    return std::max(signal.sent_after, signal.received_at - within / most_late_part);
}

} // namespace

stop_schedule make_stop_schedule(const stop_signal& signal, duration within, duration notice)
{
    const auto begin = begin_of_stop(signal, within);
    const auto last_answers = std::min<duration>(most_for_last_answers, within / last_answers_part);
    return {.noticed_at = begin + notice,
            .begin_until = signal.sent_after + within / first_part,
            .refuse_at = begin + within - within / refusals_part,
            .answer_all_at = begin + within - last_answers,
            .ends_at = begin + within};
}

stop_schedule end_at_once(stop_schedule it, instant now)
{
    it.begin_until = std::min(it.begin_until, now);
    it.refuse_at = std::min(it.refuse_at, now);
    it.answer_all_at = std::min(it.answer_all_at, now);
    it.ends_at = std::min(it.ends_at, now + most_for_last_answers);
    return it;
}

} // namespace quincewing
