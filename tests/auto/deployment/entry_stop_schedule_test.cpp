#include "quincewing/deployment/entry_stop_schedule.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace quincewing;

namespace {

constexpr instant some_time{seconds{1000}};

entry_stop_schedule schedule_from_some_time(duration grace)
{
    return make_entry_stop_schedule({.sent_after = some_time, .received_at = some_time}, grace);
}

} // namespace

TEST_CASE("entry stop schedule: the load balancer notices before requests are refused")
{
    const auto it = schedule_from_some_time(seconds{10});
    CHECK(it.close_idle > some_time + seconds{2});
    CHECK(it.refuse_unsent > it.close_idle);
}

// The platform counts what is sent later than 3 s after the signal against the host.
TEST_CASE("entry stop schedule: no request is started later than 3 s after the signal")
{
    CHECK(schedule_from_some_time(seconds{6}).refuse_unsent < some_time + seconds{3});
    CHECK(schedule_from_some_time(seconds{30}).refuse_unsent < some_time + seconds{3});
}

TEST_CASE("entry stop schedule: whatever the grace period, the steps come in order and within it")
{
    const bool good = rc::check([] {
        const duration grace = millis{*rc::gen::inRange(0, 60'000)};
        const auto it = schedule_from_some_time(grace);
        RC_ASSERT(some_time <= it.close_idle);
        RC_ASSERT(it.close_idle <= it.refuse_unsent);
        RC_ASSERT(it.refuse_unsent <= some_time + grace / 2);
        RC_ASSERT(it.refuse_unsent <= it.answer_rest);
        // The platform's pages excuse only work that lasts into the last sixth.
        RC_ASSERT(it.answer_rest >= some_time + grace - grace / 6);
        RC_ASSERT(it.answer_rest <= some_time + grace);
    });
    CHECK(good);
}

// Guards against steps that come too late since the process learned late of the signal.
TEST_CASE("entry stop schedule: it holds whenever the signal was sent in the time that it can tell")
{
    const bool good = rc::check([] {
        const duration grace = millis{*rc::gen::inRange(0, 60'000)};
        const duration doubt = millis{*rc::gen::inRange(0, 3'000)};
        const stop_signal signal{.sent_after = some_time - doubt, .received_at = some_time};
        const auto earliest = some_time - std::min(doubt, grace / 6);
        const auto it = make_entry_stop_schedule(signal, grace);
        RC_ASSERT(signal.sent_after <= it.close_idle);
        RC_ASSERT(it.close_idle <= it.refuse_unsent);
        RC_ASSERT(it.refuse_unsent <= signal.sent_after + grace / 2);
        RC_ASSERT(it.refuse_unsent < signal.sent_after + seconds{3});
        RC_ASSERT(it.refuse_unsent <= it.answer_rest);
        RC_ASSERT(it.answer_rest >= some_time + grace - grace / 6);
        RC_ASSERT(it.answer_rest <= earliest + grace);
    });
    CHECK(good);
}

// Guards against answers of the end that a late loop writes after the kill.
TEST_CASE("entry stop schedule: a late loop answers and ends earlier, within the last sixth")
{
    const bool good = rc::check([] {
        const duration grace = millis{*rc::gen::inRange(0, 60'000)};
        const duration late = millis{*rc::gen::inRange(0, 1'000)};
        const auto it = schedule_from_some_time(grace);
        const auto last_sixth = some_time + grace - grace / 6;
        RC_ASSERT(answer_rest_at(it, late) == std::max(it.answer_rest - 2 * late, last_sixth));
        RC_ASSERT(answer_rest_at(it, late) <= end_at(it, late));
        RC_ASSERT(end_at(it, late) <= end_at(it, duration{0}));
        RC_ASSERT(end_at(it, duration{0}) == it.end);
        RC_ASSERT(it.end <= some_time + grace);
    });
    CHECK(good);
    constexpr seconds grace{6};
    constexpr millis late{200};
    const auto it = schedule_from_some_time(grace);
    // The end is a turn late, and so is the answers' way out.
    CHECK(answer_rest_at(it, late) + 2 * late < some_time + grace);
    CHECK(end_at(it, late) + late < some_time + grace);
}
