#include "quincewing/host/stop_schedule.hpp"

#include <algorithm>

namespace quincewing {

namespace {

// Parts of the grace period that are kept for refusals and for the last answers.
constexpr int refusals_part = 6;
constexpr int last_answers_part = 12;
constexpr millis most_for_last_answers{300};

} // namespace

stop_schedule make_stop_schedule(instant now, duration within, duration notice)
{
    const auto last_answers = std::min<duration>(most_for_last_answers, within / last_answers_part);
    return {.noticed_at = now + notice,
            .refuse_at = now + within - within / refusals_part,
            .answer_all_at = now + within - last_answers,
            .ends_at = now + within};
}

stop_schedule end_at_once(stop_schedule it, instant now)
{
    it.refuse_at = std::min(it.refuse_at, now);
    it.answer_all_at = std::min(it.answer_all_at, now);
    it.ends_at = std::min(it.ends_at, now + most_for_last_answers);
    return it;
}

} // namespace quincewing
