#include "quincewing/deployment/entry_stop_schedule.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace quincewing;

TEST_CASE("entry stop schedule: the load balancer notices before requests are refused")
{
    const auto it = make_entry_stop_schedule(seconds{10});
    CHECK(it.close_idle > seconds{2});
    CHECK(it.refuse_unsent > it.close_idle);
}

// The platform counts what is sent later than 3 s after the signal against the host.
TEST_CASE("entry stop schedule: no request is started later than 3 s after the signal")
{
    CHECK(make_entry_stop_schedule(seconds{6}).refuse_unsent < seconds{3});
    CHECK(make_entry_stop_schedule(seconds{30}).refuse_unsent < seconds{3});
}

TEST_CASE("entry stop schedule: whatever the grace period, the steps come in order and within it")
{
    const bool good = rc::check([] {
        const duration grace = millis{*rc::gen::inRange(0, 60'000)};
        const auto it = make_entry_stop_schedule(grace);
        RC_ASSERT(duration{0} <= it.close_idle);
        RC_ASSERT(it.close_idle <= it.refuse_unsent);
        RC_ASSERT(it.refuse_unsent <= grace / 2);
        RC_ASSERT(it.refuse_unsent <= it.answer_rest);
        // The platform's pages excuse only work that lasts into the last sixth.
        RC_ASSERT(it.answer_rest >= grace - grace / 6);
        RC_ASSERT(it.answer_rest <= grace);
    });
    CHECK(good);
}
