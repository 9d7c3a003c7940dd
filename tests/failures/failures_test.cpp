#include "deposit_load.hpp"
#include "process_fleet.hpp"
#include "test_options.hpp"

#include <csignal>
#include <doctest/doctest.h>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

using namespace quincewing;
using namespace quincewing::testing;
using nlohmann::json;

namespace {

constexpr int callers = 12;

void pause_for(millis it)
{
    std::this_thread::sleep_for(it);
}

/// Every promise about the deposits, as the journals and the callers saw them.
void check_promises(const char* what, process_fleet& fleet, deposit_load& load)
{
    load.stop();
    std::cout << "  " << what << ": " << load.summary() << ", slowest " << load.longest_gap_ms()
              << " ms\n";
    CHECK(load.done() > 0);
    CHECK(load.check(fleet.journal()) == "");
}

/// Time until a key of this server is served again, in milliseconds; for the record only.
long time_to_serve(const process_fleet& fleet, int host, const std::string& boat)
{
    const auto begun = std::chrono::steady_clock::now();
    for (int n = 0; n < 500; ++n) {
        const auto answer = http_call_and_wait({.address = fleet.callers(host),
                                                .path = "/boats/" + boat + "/state",
                                                .timeout = seconds{3}});
        if (answer.status == 200) {
            break;
        }
        pause_for(millis{10});
    }
    const auto took = std::chrono::steady_clock::now() - begun;
    return std::chrono::duration_cast<millis>(took).count();
}

/// A boat whose shard the server owns, by asking a host.
std::string boat_of(const process_fleet& fleet, int host, int server)
{
    for (int n = 0; n < 400; ++n) {
        auto boat = "boat" + std::to_string(n);
        const auto answer = http_call_and_wait({.method = "POST",
                                                .address = fleet.operators(host),
                                                .path = "/explain",
                                                .body = "boats/" + boat});
        const auto it = json::parse(answer.body, nullptr, false);
        if (!it.is_discarded() && it.value("owner", "") == process_fleet::server_name(server)) {
            return boat;
        }
    }
    return {};
}

} // namespace

TEST_CASE("failure: an entry host is killed with deposits in flight")
{
    process_fleet fleet{{.work_us = 5000}};
    REQUIRE(fleet.wait_served());
    deposit_load load{fleet, callers, options().seed};
    pause_for(millis{700});
    const int leader = fleet.leader_of(0);
    REQUIRE(leader >= 0);
    const auto boat = boat_of(fleet, (leader + 1) % 3, 0);
    fleet.kill(fleet.host(leader));
    std::cout << "  served again after " << time_to_serve(fleet, (leader + 1) % 3, boat)
              << " ms (target 3000)\n";
    pause_for(millis{1500});
    fleet.start_host(leader);
    pause_for(millis{1500});
    check_promises("host killed", fleet, load);
}

TEST_CASE("path: a posted form reaches the server as it was sent, through any host")
{
    process_fleet fleet{{}};
    REQUIRE(fleet.wait_served());
    for (int i = 0; i < fleet.hosts(); ++i) {
        const auto answer =
            http_call_and_wait({.method = "POST",
                                .address = fleet.callers(i),
                                .path = "/boats/boat1/release",
                                .headers = {{"Idempotency-Key", "form" + std::to_string(i)},
                                            {"Content-Type", "application/x-www-form-urlencoded"}},
                                .body = "open gate"});
        CHECK(answer.status == 200);
        CHECK(answer.body.find(" /boats/boat1/release form") != std::string::npos);
    }
}

TEST_CASE("failure: a leader is frozen past its lease and wakes")
{
    process_fleet fleet{{}};
    REQUIRE(fleet.wait_served());
    deposit_load load{fleet, callers, options().seed};
    pause_for(millis{500});
    const int leader = fleet.leader_of(0);
    REQUIRE(leader >= 0);
    const auto boat = boat_of(fleet, (leader + 1) % 3, 0);
    fleet.host(leader).signal(SIGSTOP);
    std::cout << "  served again after " << time_to_serve(fleet, (leader + 1) % 3, boat)
              << " ms (target 3000)\n";
    pause_for(millis{2500});
    fleet.host(leader).signal(SIGCONT);
    pause_for(millis{1500});
    check_promises("leader frozen", fleet, load);
}

TEST_CASE("failure: a backend server is killed, another is frozen")
{
    for (const bool fences : {false, true}) {
        process_fleet fleet{{.checks_fences = fences}};
        REQUIRE(fleet.wait_served());
        deposit_load load{fleet, callers, options().seed};
        pause_for(millis{500});
        const auto killed = boat_of(fleet, 0, 0);
        fleet.kill(fleet.server(0));
        std::cout << "  killed: served again after " << time_to_serve(fleet, 0, killed)
                  << " ms (target 3000)\n";
        pause_for(millis{1000});
        const auto frozen = boat_of(fleet, 0, 1);
        fleet.server(1).signal(SIGSTOP);
        std::cout << "  frozen: served again after " << time_to_serve(fleet, 0, frozen)
                  << " ms (target 3000)\n";
        pause_for(millis{1500});
        fleet.server(1).signal(SIGCONT);
        fleet.start_server(0);
        pause_for(millis{1500});
        check_promises(fences ? "servers lost, fences" : "servers lost, no fences", fleet, load);
    }
}

// Reads of the log were cut short by the relay, so that hosts behind it took the log for lost.
TEST_CASE("failure: a relay that cuts nothing passes every answer whole")
{
    process_fleet fleet{{.data_centres = 1, .hosts_each = 1, .servers_each = 1, .relays = true}};
    REQUIRE(fleet.wait_served());
    const std::string data(200'000, 'x');
    const auto put = http_call_and_wait({.method = "POST",
                                         .address = fleet.platform_address(),
                                         .path = "/streams/relayed",
                                         .body = data});
    REQUIRE(put.status == 200);
    for (int i = 0; i < 200; ++i) {
        const auto answer = http_call_and_wait(
            {.address = fleet.platform_relay(0), .path = "/streams/relayed?from=1&max=10"});
        REQUIRE(answer.status == 200);
        REQUIRE(answer.body.size() > data.size());
    }
}

TEST_CASE("failure: a data centre is cut from all others and the platform")
{
    process_fleet fleet{{.data_centres = 2, .hosts_each = 3, .servers_each = 2, .relays = true}};
    REQUIRE(fleet.wait_served());
    REQUIRE(fleet.wait_paired_at_home());
    deposit_load here{fleet, callers / 2, options().seed, {0, 1, 2}};
    deposit_load there{fleet, callers / 2, options().seed + 1, {3, 4, 5}};
    pause_for(millis{700});
    fleet.cut(1, true);
    pause_for(millis{1500});
    // Each side goes on with its own servers.
    for (const int server : {2, 3}) {
        const auto boat = boat_of(fleet, 4, server);
        const auto answer =
            http_call_and_wait({.address = fleet.callers(4), .path = "/boats/" + boat + "/state"});
        CHECK_MESSAGE(answer.status == 200, answer.body);
    }
    pause_for(millis{2500});
    fleet.cut(1, false);
    pause_for(millis{4000});
    here.stop();
    there.stop();
    check_promises("cut, the one side", fleet, here);
    check_promises("cut, the other side", fleet, there);
}

TEST_CASE("failure: the platform is down while a host and a server are killed")
{
    process_fleet fleet{{}};
    REQUIRE(fleet.wait_served());
    deposit_load load{fleet, callers, options().seed};
    pause_for(millis{500});
    fleet.control_platform("outage=1");
    pause_for(millis{2000});
    const int leader = fleet.leader_of(0);
    REQUIRE(leader >= 0);
    const int other = (leader + 1) % 3;
    const auto boat = boat_of(fleet, other, 0);
    fleet.kill(fleet.host(leader));
    std::cout << "  host: served again after " << time_to_serve(fleet, other, boat)
              << " ms (target 3000)\n";
    pause_for(millis{500});
    const auto lost = boat_of(fleet, other, 1);
    fleet.kill(fleet.server(1));
    std::cout << "  server: served again after " << time_to_serve(fleet, other, lost)
              << " ms (target 3000)\n";
    pause_for(millis{1500});
    fleet.control_platform("outage=0");
    fleet.start_server(1);
    fleet.start_host(leader);
    pause_for(millis{3000});
    CHECK(fleet.wait_served());
    check_promises("platform down", fleet, load);
}

TEST_CASE("failure: answers of the platform are lost after the append took effect")
{
    process_fleet fleet{{}};
    fleet.control_platform("lose_every=2");
    REQUIRE(fleet.wait_served());
    deposit_load load{fleet, callers, options().seed};
    pause_for(millis{500});
    fleet.kill(fleet.server(0));
    pause_for(millis{3000});
    check_promises("answers lost", fleet, load);
}

TEST_CASE("failure: two operators confirm at once")
{
    process_fleet fleet{{}};
    REQUIRE(fleet.wait_served());
    const auto plan = [&](int host, const std::string& server) {
        return http_call_and_wait({.method = "POST",
                                   .address = fleet.operators(host),
                                   .path = "/plan",
                                   .body = R"({"intent":"retire","server":")" + server + "\"}"});
    };
    const auto one = plan(0, "s0");
    const auto two = plan(1, "s1");
    REQUIRE(one.status == 200);
    REQUIRE(two.status == 200);
    http_answer first;
    std::thread racing{[&] {
        first = http_call_and_wait({.method = "POST",
                                    .address = fleet.operators(0),
                                    .path = "/confirm",
                                    .body = one.body,
                                    .timeout = seconds{12}});
    }};
    const auto second = http_call_and_wait({.method = "POST",
                                            .address = fleet.operators(1),
                                            .path = "/confirm",
                                            .body = two.body,
                                            .timeout = seconds{12}});
    racing.join();
    CHECK((first.status == 200) != (second.status == 200));
    const auto& loser = first.status == 200 ? second : first;
    const auto& winner = first.status == 200 ? one : two;
    CHECK(loser.status == 409);
    // The loser is told which plan won.
    CHECK(loser.body.find(json::parse(winner.body)["plan"].get<std::string>()) !=
          std::string::npos);
    CHECK(fleet.wait_served());
}

TEST_CASE("failure: open connections to the servers go silent")
{
    process_fleet fleet{{.server_relays = true}};
    REQUIRE(fleet.wait_served());
    deposit_load load{fleet, callers, options().seed};
    for (int n = 0; n < 4; ++n) {
        pause_for(millis{600});
        for (int i = 0; i < fleet.servers(); ++i) {
            fleet.control_server_relay(i, "silence_open=1");
        }
    }
    pause_for(millis{1000});
    check_promises("silent connections", fleet, load);
}

TEST_CASE("failure: a request that crashes its server is sent again and again")
{
    process_fleet fleet{{}};
    REQUIRE(fleet.wait_served());
    int lost = 0;
    for (int n = 0; n < 30; ++n) {
        http_call_and_wait(
            {.address = fleet.callers(n % 3), .path = "/boats/boat7/crash", .timeout = seconds{4}});
        for (int i = 0; i < fleet.servers(); ++i) {
            if (fleet.server(i).ended()) {
                ++lost;
                fleet.start_server(i);
            }
        }
        pause_for(millis{300});
    }
    std::cout << "  servers lost to one request: " << lost << " (target 2 or fewer)\n";
    CHECK(lost <= 2);
    const auto answer = http_call_and_wait(
        {.address = fleet.callers(0), .path = "/boats/boat7/crash", .timeout = seconds{4}});
    CHECK(answer.status == 429);
}

TEST_CASE("failure: SIGTERM under load cuts off no request")
{
    process_fleet fleet{{.work_us = 20000}};
    REQUIRE(fleet.wait_served());
    deposit_load load{fleet, callers, options().seed};
    pause_for(millis{700});
    fleet.host(0).signal(SIGTERM);
    // The balancer sees /ready later and gives callers other hosts.
    pause_for(millis{300});
    load.take_out(0, true);
    // Ends by itself, with all it had taken in answered.
    CHECK(fleet.host(0).wait() == 0);
    pause_for(millis{500});
    CHECK(load.cut_off() == 0);
    fleet.start_host(0);
    pause_for(millis{2500});
    load.take_out(0, false);
    check_promises("SIGTERM", fleet, load);
}

TEST_CASE("failure: all entry hosts are replaced one by one under load")
{
    process_fleet fleet{{.hosts_each = 4}};
    REQUIRE(fleet.wait_served());
    deposit_load load{fleet, callers, options().seed};
    for (int i = 0; i < fleet.hosts(); ++i) {
        pause_for(millis{2500});
        fleet.host(i).signal(SIGTERM);
        fleet.host(i).wait();
        fleet.start_host(i);
    }
    pause_for(millis{3000});
    CHECK(fleet.wait_served());
    check_promises("hosts replaced", fleet, load);
}
