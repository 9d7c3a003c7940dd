#include "late_stop_run.hpp"
#include "raw_caller.hpp"

#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace quincewing;
using namespace quincewing::testing;

namespace {

constexpr seconds grace{6};
constexpr seconds longer_than_grace{20};

void check_refused(const late_stop_run& run, const thread_caller& caller, const std::string& id)
{
    CHECK_MESSAGE(caller.status() == "503", caller.received());
    CHECK(caller.received().find("Retry-After: 0") != std::string::npos);
    CHECK_FALSE(run.deployment().executed.contains(id));
}

void check_answered_at_end(const late_stop_run& run, const thread_caller& caller)
{
    CHECK_MESSAGE(caller.status() == "502", caller.received());
    const auto after = caller.answered_at() - run.signal();
    CHECK_MESSAGE(after < grace, after.count(), " us");
    CHECK_MESSAGE(after >= grace - grace / 6, after.count(), " us");
}

} // namespace

// Guards against a stop that counts from the moment at which a late loop learns of the signal.
TEST_CASE("entry stop: its steps count from the signal though the loop learns of it late")
{
    late_stop_run it{{.service_time = longer_than_grace, .route_timeout = seconds{30}}};
    auto& early = it.add_caller({.bytes = post_request("early"), .send_after = millis{-200}});
    auto& late = it.add_caller(
        {.bytes = post_request("late"), .connect_after = millis{2850}, .send_after = millis{3050}});
    it.run(millis{400});
    check_refused(it, late, "late");
    check_answered_at_end(it, early);
    CHECK(it.ended_after() > duration{0});
}

// Guards against requests that a late loop reads before the tick which forbids them.
TEST_CASE("entry stop: a request that a late loop reads after the last start is refused")
{
    late_stop_run it{{.service_time = millis{30}}};
    auto& served = it.add_caller({.bytes = post_request("served"),
                                  .connect_after = millis{2600},
                                  .send_after = millis{2700}});
    auto& late = it.add_caller(
        {.bytes = post_request("late"), .connect_after = millis{2700}, .send_after = millis{3100}});
    it.block(millis{2800}, millis{3200});
    it.run();
    CHECK(served.status() == "200");
    check_refused(it, late, "late");
}
