#include "quincewing/host/stop_schedule.hpp"

#include <doctest/doctest.h>

using namespace quincewing;

namespace {

constexpr seconds within{6};
constexpr seconds notice{2};
constexpr instant received{seconds{100}};

stop_schedule schedule_when_late(millis late)
{
    return make_stop_schedule({.sent_after = received - late, .received_at = received}, within,
                              notice);
}

} // namespace

// Guards against a stop that counts from the moment at which a late loop learns of the signal.
TEST_CASE("stop schedule: counts from the time after which the signal was sent")
{
    const auto it = schedule_when_late(millis{400});
    const auto sent = received - millis{400};
    CHECK(it.noticed_at == sent + notice);
    CHECK(it.begin_until == sent + within / 2);
    CHECK(it.refuse_at == sent + seconds{5});
    CHECK(it.answer_all_at == sent + within - millis{300});
    CHECK(it.ends_at == sent + within);
}

// Guards against a stop that gives requests up since the process did not run before the signal.
TEST_CASE("stop schedule: gives nothing up before the last sixth however late the process is")
{
    for (const auto late : {millis{0}, millis{500}, millis{900}, millis{3600 * 1000}}) {
        const auto it = schedule_when_late(late);
        CHECK(it.answer_all_at >= received + within - within / 6);
        CHECK(it.ends_at <= received + within);
    }
}
