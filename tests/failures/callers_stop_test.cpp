#include "broken_server.hpp"
#include "port_block.hpp"
#include "process_fleet.hpp"
#include "raw_caller.hpp"
#include "stop_support.hpp"

#include <csignal>
#include <doctest/doctest.h>
#include <string>

using namespace quincewing;
using namespace quincewing::testing;

// A fixed time was left for answers to leave the process.
TEST_CASE("failure: a host that exits cuts an answer that its caller reads slowly")
{
    process_fleet fleet{{}};
    REQUIRE(fleet.wait_served());
    raw_caller slow{fleet.callers(0), true};
    constexpr std::size_t size = 200'000;
    REQUIRE(slow.get("/boats/boat1/state?size=" + std::to_string(size)));
    pause_for(millis{300});
    fleet.host(0).signal(SIGTERM);
    // The host has handed over and would end now.
    pause_for(millis{5000});
    const auto answers = slow.read(1, longest_wait);
    REQUIRE(answers.size() == 1);
    CHECK(answers.front().body.size() == size);
}

// The connection would end under the next request.
TEST_CASE("failure: callers of a host that stops are not told that their connection ends")
{
    process_fleet fleet{one_host("6s")};
    REQUIRE(fleet.wait_served());
    raw_caller plain{fleet.callers(0)};
    raw_caller pipelined{fleet.callers(0)};
    REQUIRE(plain.get("/boats/boat1/state"));
    REQUIRE(plain.read(1, longest_wait).size() == 1);
    fleet.host(0).signal(SIGTERM);
    pause_for(millis{2500});
    REQUIRE(plain.get(work_of("boat1", millis{20})));
    auto answers = plain.read(1, longest_wait);
    REQUIRE(answers.size() == 1);
    CHECK(answers.front().says("Connection: close"));
    // Requests that wait behind one on its connection are answered before the connection ends.
    const std::string request = "GET /boats/boat1/state HTTP/1.1\r\nHost: test\r\n\r\n";
    REQUIRE(pipelined.send(request + request + request));
    answers = pipelined.read(3, longest_wait);
    REQUIRE(answers.size() == 3);
    CHECK_FALSE(answers[0].says("Connection: close"));
    CHECK_FALSE(answers[1].says("Connection: close"));
    CHECK(answers[2].says("Connection: close"));
}

// The broken connection was kept, and the run with it.
TEST_CASE("failure: callers that leave during an answer keep the server's slots")
{
    process_fleet fleet{{}};
    REQUIRE(fleet.wait_served());
    for (int i = 0; i < fleet.hosts(); ++i) {
        for (int n = 0; n < 8; ++n) {
            const auto boat = "boat" + std::to_string(n);
            raw_caller caller{fleet.callers(i)};
            REQUIRE(caller.get("/boats/" + boat + "/state?size=40000000"));
            REQUIRE(caller.skip(8'000));
            caller.reset();
            raw_caller next{fleet.callers(i)};
            REQUIRE(next.get("/boats/" + boat + "/state"));
            const auto answers = next.read(1, longest_wait);
            REQUIRE(answers.size() == 1);
            CHECK(answers.front().status == 200);
        }
        CHECK_FALSE(fleet.host(i).ended());
    }
}

// What has not left the host yet can still be replaced.
TEST_CASE("failure: a caller has no answer when the server breaks off one that was not passed on")
{
    const auto address = free_address();
    broken_server server{address};
    REQUIRE(server.listening());
    auto layout = one_host("10s");
    layout.server_at = address;
    process_fleet fleet{layout};
    REQUIRE(fleet.wait_served());
    raw_caller caller{fleet.callers(0)};
    REQUIRE(caller.get("/boats/boat1/state"));
    const auto answers = caller.read(1, longest_wait);
    REQUIRE(answers.size() == 1);
    CHECK(answers.front().status == 504);
    CHECK_FALSE(answers.front().says("X-Server"));
}

// Guards against an end of the caller's sending side that is taken for the end of its connection.
TEST_CASE("failure: a caller that ends its sending side only gets no answer")
{
    process_fleet fleet{one_host("6s")};
    REQUIRE(fleet.wait_served());
    raw_caller small{fleet.callers(0)};
    REQUIRE(small.get(work_of("boat1", millis{300})));
    small.end_sending();
    const auto answers = small.read(1, longest_wait);
    REQUIRE(answers.size() == 1);
    CHECK(answers.front().status == 200);
    constexpr std::size_t size = 200'000;
    raw_caller large{fleet.callers(0), true};
    REQUIRE(large.get("/boats/boat1/state?us=300000&size=" + std::to_string(size)));
    large.end_sending();
    pause_for(millis{1000});
    const auto whole = large.read(1, longest_wait);
    REQUIRE(whole.size() == 1);
    CHECK(whole.front().body.size() == size);
}
