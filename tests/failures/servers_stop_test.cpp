#include "process_fleet.hpp"
#include "raw_caller.hpp"
#include "stop_support.hpp"

#include <doctest/doctest.h>
#include <vector>

using namespace quincewing;
using namespace quincewing::testing;

// The host took a server that works for long for a connection that was lost track of.
TEST_CASE("failure: requests that last long are broken off since their server is silent")
{
    process_fleet fleet{{.hosts_each = 1, .servers_each = 1}};
    REQUIRE(fleet.wait_served());
    constexpr std::size_t callers = 3;
    std::vector<raw_caller> open;
    open.reserve(callers);
    // Every connection to the server has answered once.
    for (std::size_t i = 0; i < callers; ++i) {
        open.emplace_back(fleet.callers(0));
        REQUIRE(open[i].get(work_of("warm" + std::to_string(i), millis{100})));
    }
    for (auto& it : open) {
        REQUIRE(it.read(1, longest_wait).size() == 1);
    }
    REQUIRE(open[0].get(work_of("long", millis{1500})));
    const auto answers = open[0].read(1, longest_wait);
    REQUIRE(answers.size() == 1);
    CHECK(answers.front().status == 200);
}

// A connection that is kept beside a second try must not hold the request up.
TEST_CASE("failure: a read on a connection that was lost track of has no answer")
{
    process_fleet fleet{{.hosts_each = 1, .servers_each = 1, .server_relays = true}};
    REQUIRE(fleet.wait_served());
    raw_caller caller{fleet.callers(0)};
    REQUIRE(caller.get(work_of("warm", millis{20})));
    REQUIRE(caller.read(1, longest_wait).size() == 1);
    fleet.control_server_relay(0, "silence_open=1");
    REQUIRE(caller.get(work_of("boat1", millis{20})));
    const auto answers = caller.read(1, millis{2000});
    REQUIRE(answers.size() == 1);
    CHECK(answers.front().status == 200);
}

// A move of shards broke runs off after 5 s, whatever the deadlines of its service.
TEST_CASE("failure: a server is retired and requests at which it is at work are given up")
{
    process_fleet fleet{{.hosts_each = 1, .servers_each = 2, .slots = 16, .max_deadline = "10s"}};
    REQUIRE(fleet.wait_served());
    constexpr int callers = 8;
    std::vector<raw_caller> open;
    open.reserve(callers);
    for (int i = 0; i < callers; ++i) {
        open.emplace_back(fleet.callers(0));
        REQUIRE(open.back().send("GET " + work_of("boat" + std::to_string(i), millis{7000}) +
                                 " HTTP/1.1\r\nHost: test\r\n"
                                 "Quincewing-Deadline-Ms: 9000\r\n\r\n"));
    }
    pause_for(millis{200});
    const auto plan = http_call_and_wait({.method = "POST",
                                          .address = fleet.operators(0),
                                          .path = "/plan",
                                          .body = R"({"intent":"retire","server":"s0"})"});
    REQUIRE_MESSAGE(plan.status == 200, plan.body);
    const auto confirmed = http_call_and_wait({.method = "POST",
                                               .address = fleet.operators(0),
                                               .path = "/confirm",
                                               .body = plan.body,
                                               .timeout = seconds{5}});
    REQUIRE_MESSAGE(confirmed.status == 200, confirmed.body);
    for (auto& it : open) {
        const auto answers = it.read(1, millis{9000});
        REQUIRE(answers.size() == 1);
        CHECK(answers.front().status == 200);
    }
}

// The library broke a connection off on which nothing was heard for 50 s.
TEST_CASE("failure: a request is given up since its server is silent for 50 s")
{
    process_fleet fleet{{.hosts_each = 1, .servers_each = 1, .max_deadline = "60s"}};
    REQUIRE(fleet.wait_served());
    raw_caller caller{fleet.callers(0)};
    REQUIRE(caller.send("POST " + work_of("boat1", millis{51'000}) +
                        " HTTP/1.1\r\nHost: test\r\nContent-Length: 0\r\n"
                        "Quincewing-Deadline-Ms: 58000\r\n\r\n"));
    const auto answers = caller.read(1, millis{57'000});
    REQUIRE(answers.size() == 1);
    CHECK(answers.front().status == 200);
}
