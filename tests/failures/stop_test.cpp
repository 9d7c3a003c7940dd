#include "process_fleet.hpp"
#include "raw_caller.hpp"
#include "stop_support.hpp"

#include <chrono>
#include <csignal>
#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace quincewing;
using namespace quincewing::testing;

// The forced end of a stop abandoned what was still open.
TEST_CASE("failure: a stop ends with requests that were read and have no answer")
{
    process_fleet fleet{one_host("3s")};
    REQUIRE(fleet.wait_served());
    std::vector<raw_caller> open;
    for (int i = 0; i < 6; ++i) {
        open.emplace_back(fleet.callers(0));
        REQUIRE(open.back().get(work_of("boat" + std::to_string(i), millis{4000})));
        pause_for(millis{20});
    }
    pause_for(millis{300});
    fleet.host(0).signal(SIGTERM);
    int refused = 0;
    int broken_off = 0;
    for (auto& it : open) {
        const auto answers = it.read(1, longest_wait);
        CHECK(answers.size() == 1);
        if (answers.empty()) {
            continue;
        }
        const auto& answer = answers.front();
        const bool not_run = answer.status == 503 || answer.status == 429;
        refused += not_run && answer.says("Retry-After: ") ? 1 : 0;
        broken_off += answer.status == 504 ? 1 : 0;
    }
    CHECK(refused == 5);
    CHECK(broken_off == 1);
    CHECK(fleet.host(0).wait() == 0);
}

// Requests were still taken between the end of a stop and the end of the process.
TEST_CASE("failure: a host passes requests on while it exits and never answers them")
{
    process_fleet fleet{{}};
    REQUIRE(fleet.wait_served());
    constexpr int callers = 30;
    std::vector<raw_caller> open;
    open.reserve(callers);
    for (int i = 0; i < callers; ++i) {
        open.emplace_back(fleet.callers(0));
    }
    fleet.host(0).signal(SIGTERM);
    // The balancer has noticed and nothing is open.
    pause_for(millis{2050});
    std::vector<std::string> paths;
    for (std::size_t i = 0; i < open.size() && !fleet.host(0).ended(); ++i) {
        paths.push_back("/boats/late" + std::to_string(i) + "/state");
        open[i].get(paths.back() + "?us=1000000");
        pause_for(millis{10});
    }
    for (std::size_t i = 0; i < paths.size(); ++i) {
        const bool answered = !open[i].read(1, longest_wait).empty();
        CHECK((answered || runs_of(fleet, paths[i]) == 0));
    }
}

// The process ended with the confirmation still waiting for the log.
TEST_CASE("failure: a stop ends with a confirmation that has no answer")
{
    process_fleet fleet{one_host("3s")};
    REQUIRE(fleet.wait_served());
    const auto plan = http_call_and_wait({.method = "POST",
                                          .address = fleet.operators(0),
                                          .path = "/plan",
                                          .body = R"({"intent":"level","service":"boats"})"});
    REQUIRE_MESSAGE(plan.status == 200, plan.body);
    fleet.control_platform("outage=1");
    raw_caller caller{fleet.operators(0)};
    REQUIRE(caller.send("POST /confirm HTTP/1.1\r\nHost: test\r\nContent-Length: " +
                        std::to_string(plan.body.size()) + "\r\n\r\n" + plan.body));
    pause_for(millis{100});
    fleet.host(0).signal(SIGTERM);
    const auto answers = caller.read(1, longest_wait);
    REQUIRE(answers.size() == 1);
    CHECK(answers.front().status == 504);
}

// It handed over only what it led when it was told to stop.
TEST_CASE("failure: a host that takes a server over while it stops keeps it to the end of its time")
{
    process_fleet fleet{{.hosts_each = 4, .stop_within = "20s"}};
    REQUIRE(fleet.wait_served());
    const auto begun = std::chrono::steady_clock::now();
    for (int i = 0; i < 3; ++i) {
        fleet.host(i).signal(SIGTERM);
    }
    for (int i = 0; i < 3; ++i) {
        CHECK(fleet.host(i).wait() == 0);
    }
    CHECK(std::chrono::steady_clock::now() - begun < seconds{15});
}

// The second signal ended the process at once.
TEST_CASE("failure: a second signal ends a host with requests that have no answer")
{
    process_fleet fleet{one_host("10s")};
    REQUIRE(fleet.wait_served());
    raw_caller caller{fleet.callers(0)};
    REQUIRE(caller.get(work_of("boat1", millis{4000})));
    pause_for(millis{300});
    fleet.host(0).signal(SIGTERM);
    pause_for(millis{300});
    fleet.host(0).signal(SIGTERM);
    const auto answers = caller.read(1, longest_wait);
    REQUIRE(answers.size() == 1);
    CHECK(answers.front().status == 504);
}

// A pair of one member handed over to nobody.
TEST_CASE("failure: the only host refuses all requests from the signal on")
{
    process_fleet fleet{one_host("6s")};
    REQUIRE(fleet.wait_served());
    fleet.host(0).signal(SIGTERM);
    pause_for(millis{500});
    raw_caller caller{fleet.callers(0)};
    REQUIRE(caller.get("/boats/boat1/state"));
    const auto answers = caller.read(1, millis{1500});
    REQUIRE(answers.size() == 1);
    CHECK(answers.front().status == 200);
}

// A hand-over that the log cannot record leaves the server without a leader.
TEST_CASE("failure: a host that is stopped in an outage of the log refuses all requests")
{
    process_fleet fleet{{}};
    REQUIRE(fleet.wait_served());
    fleet.control_platform("outage=1");
    pause_for(millis{3500});
    const int leader = fleet.leader_of(0);
    REQUIRE(leader >= 0);
    fleet.host(leader).signal(SIGTERM);
    pause_for(millis{1000});
    int served = 0;
    for (int n = 0; n < 20; ++n) {
        raw_caller caller{fleet.callers((leader + 1) % 3)};
        REQUIRE(caller.get("/boats/boat" + std::to_string(n) + "/state"));
        const auto answers = caller.read(1, millis{1000});
        served += !answers.empty() && answers.front().status == 200 ? 1 : 0;
    }
    CHECK(served == 20);
}
