#include "process_fleet.hpp"

#include "quincewing/http/http_call.hpp"

#include <csignal>
#include <doctest/doctest.h>
#include <iostream>
#include <thread>

using namespace quincewing;
using namespace quincewing::testing;

namespace {

constexpr int too_many_requests = 429;
constexpr int tolerated_crashes = 2;

/// Sends a request that crashes its server to one host after the other and starts the server
/// again each time. Returns the number of servers that ended.
int send_crashing(process_fleet& fleet, int times)
{
    int lost = 0;
    for (int n = 0; n < times; ++n) {
        http_call_and_wait({.address = fleet.callers(n % fleet.hosts()),
                            .path = "/boats/boat7/crash",
                            .timeout = seconds{4}});
        for (int i = 0; i < fleet.servers(); ++i) {
            if (fleet.server(i).ended()) {
                ++lost;
                fleet.start_server(i);
            }
        }
        std::this_thread::sleep_for(millis{300});
    }
    return lost;
}

} // namespace

// Guards against hosts that forget with their restart which requests crash servers.
TEST_CASE("crash: a request that crashes its server is sent on by hosts that restarted")
{
    process_fleet fleet{{}};
    REQUIRE(fleet.wait_served());
    int lost = send_crashing(fleet, 12);
    CHECK(lost >= 1);
    for (int i = 0; i < fleet.hosts(); ++i) {
        fleet.host(i).signal(SIGKILL);
        fleet.host(i).wait();
        fleet.start_host(i);
        REQUIRE(fleet.wait_served());
        std::this_thread::sleep_for(seconds{2});
    }
    lost += send_crashing(fleet, 20);
    std::cout << "  servers lost to one request: " << lost << " (target 2 or fewer)\n";
    CHECK(lost <= tolerated_crashes);
    const auto answer = http_call_and_wait(
        {.address = fleet.callers(0), .path = "/boats/boat7/crash", .timeout = seconds{4}});
    CHECK(answer.status == too_many_requests);
}
