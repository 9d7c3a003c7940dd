#include "host_thread.hpp"
#include "process_fleet.hpp"
#include "raw_caller.hpp"
#include "stop_support.hpp"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <thread>

using namespace quincewing;
using namespace quincewing::testing;

/// Stops of hosts whose loops turn late.
namespace {

/// Runs that began at servers after this time.
std::size_t runs_after(const process_fleet& fleet, std::chrono::steady_clock::time_point at)
{
    using std::chrono::duration_cast;
    const auto at_ns = duration_cast<std::chrono::nanoseconds>(at.time_since_epoch()).count();
    const auto lines = fleet.journal();
    return std::count_if(lines.begin(), lines.end(), [&](const auto& line) {
        const auto it = nlohmann::json::parse(line);
        return it["kind"] == "run" && it["start_ns"].template get<long long>() > at_ns;
    });
}

/// A GET whose work at the server takes this long.
std::string request_for(const std::string& boat, millis work, millis deadline)
{
    return "GET /boats/" + boat + "/state?us=" + std::to_string(work.count() * 1000) +
           " HTTP/1.1\r\nHost: test\r\nQuincewing-Deadline-Ms: " +
           std::to_string(deadline.count()) + "\r\n\r\n";
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

// The end of another run granted the slot before a tick said that the time was over.
TEST_CASE("failure: a stop whose loop is late begins a request that gets its slot too late")
{
    process_fleet fleet{{.hosts_each = 1,
                         .servers_each = 1,
                         .slots = 1,
                         .stop_within = "6s",
                         .leaves_first_host = true}};
    host_thread host{fleet.write_settings(0)};
    REQUIRE(host.listening());
    REQUIRE(fleet.wait_served());
    raw_caller first{fleet.callers(0)};
    raw_caller second{fleet.callers(0)};
    REQUIRE(first.send(request_for("boat1", millis{2700}, millis{5000})));
    std::this_thread::sleep_for(millis{50});
    REQUIRE(second.send(request_for("boat2", millis{500}, millis{5000})));
    std::this_thread::sleep_for(millis{2350});
    // Both were read in the first half of the stop. The first one ends while the loop is late.
    const auto refuse_at = host.stop_and_be_late(millis{4900}, millis{600});
    const auto served = first.read(1, longest_wait);
    REQUIRE(served.size() == 1);
    CHECK(served.front().status == 200);
    const auto refused = second.read(1, longest_wait);
    REQUIRE(refused.size() == 1);
    CHECK(refused.front().status == 503);
    CHECK(refused.front().says("Retry-After: "));
    CHECK(runs_after(fleet, refuse_at) == 0);
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
