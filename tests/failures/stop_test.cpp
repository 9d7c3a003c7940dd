#include "broken_server.hpp"
#include "port_block.hpp"
#include "process_fleet.hpp"
#include "raw_caller.hpp"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <doctest/doctest.h>
#include <thread>

using namespace quincewing;
using namespace quincewing::testing;

namespace {

constexpr millis longest_wait{6000};

void pause_for(millis it)
{
    std::this_thread::sleep_for(it);
}

/// One host that leads one server, which runs one request at a time.
fleet_layout one_host(const std::string& stop_within)
{
    return {.hosts_each = 1, .servers_each = 1, .slots = 1, .stop_within = stop_within};
}

std::string work_of(const std::string& boat, millis it)
{
    return "/boats/" + boat + "/state?us=" + std::to_string(it.count() * 1000);
}

std::size_t runs_of(const process_fleet& fleet, const std::string& path)
{
    const auto lines = fleet.journal();
    return std::count_if(lines.begin(), lines.end(), [&](const auto& line) {
        return line.find("\"" + path + "\"") != std::string::npos;
    });
}

/// Stops a host that has 6 s, and suspends it while its server's answer comes, until just before
/// its end. Returns the status that the caller got, 0 for none.
int status_after_suspension(const child_process& host, raw_caller& caller)
{
    constexpr millis asked{1000};
    constexpr millis suspended{5200};
    constexpr millis answered{5400};
    constexpr millis resumed{5800};
    const auto begun = std::chrono::steady_clock::now();
    host.signal(SIGTERM);
    std::this_thread::sleep_until(begun + asked);
    if (!caller.get(work_of("boat1", answered - asked))) {
        return 0;
    }
    std::this_thread::sleep_until(begun + suspended);
    host.signal(SIGSTOP);
    std::this_thread::sleep_until(begun + resumed);
    host.signal(SIGCONT);
    const auto answers = caller.read(1, longest_wait);
    return answers.empty() ? 0 : answers.front().status;
}

} // namespace

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

// Each step counted from the moment at which the loop learned of the signal.
TEST_CASE("failure: a stop whose loop is late ends after the time that it has")
{
    constexpr millis late{450};
    constexpr millis kill_after{6000};
    process_fleet fleet{one_host("6s")};
    REQUIRE(fleet.wait_served());
    raw_caller caller{fleet.callers(0)};
    const auto begun = std::chrono::steady_clock::now();
    fleet.host(0).signal(SIGSTOP);
    fleet.host(0).signal(SIGTERM);
    pause_for(late);
    fleet.host(0).signal(SIGCONT);
    pause_for(millis{1550});
    REQUIRE(caller.get(work_of("boat1", millis{4900})));
    const auto left = begun + kill_after - std::chrono::steady_clock::now();
    const auto answers = caller.read(1, std::chrono::duration_cast<millis>(left));
    fleet.host(0).signal(SIGKILL);
    REQUIRE(answers.size() == 1);
    CHECK(answers.front().status == 504);
}

// The timers of a process that was suspended run before it reads its sockets.
TEST_CASE("failure: a host that was suspended gives up a request whose answer lies unread")
{
    process_fleet fleet{one_host("6s")};
    REQUIRE(fleet.wait_served());
    raw_caller caller{fleet.callers(0)};
    CHECK(status_after_suspension(fleet.host(0), caller) == 200);
}

// As above, with the answer on the connection to the host that leads the server.
TEST_CASE("failure: a host that was suspended gives up a request whose answer from another host "
          "lies unread")
{
    process_fleet fleet{{.hosts_each = 2, .servers_each = 1, .stop_within = "6s"}};
    REQUIRE(fleet.wait_served());
    const int leader = fleet.leader_of(0);
    REQUIRE(leader >= 0);
    const int other = 1 - leader;
    raw_caller caller{fleet.callers(other)};
    CHECK(status_after_suspension(fleet.host(other), caller) == 200);
}

// Any request was begun until shortly before the end, and then given up.
TEST_CASE("failure: a stop begins a request that may outlast it")
{
    process_fleet fleet{one_host("6s")};
    REQUIRE(fleet.wait_served());
    raw_caller slow{fleet.callers(0)};
    raw_caller brief{fleet.callers(0)};
    fleet.host(0).signal(SIGTERM);
    pause_for(millis{3200});
    REQUIRE(slow.get(work_of("boat1", millis{4000})));
    auto answers = slow.read(1, longest_wait);
    REQUIRE(answers.size() == 1);
    CHECK(answers.front().status == 503);
    CHECK(answers.front().says("Retry-After: "));
    CHECK(runs_of(fleet, "/boats/boat1/state") == 0);
    // One that ends before the stop does is served.
    REQUIRE(brief.send("GET " + work_of("boat2", millis{20}) +
                       " HTTP/1.1\r\nHost: test\r\nQuincewing-Deadline-Ms: 1000\r\n\r\n"));
    answers = brief.read(1, longest_wait);
    REQUIRE(answers.size() == 1);
    CHECK(answers.front().status == 200);
}

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
