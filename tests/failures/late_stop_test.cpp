#include "host_thread.hpp"
#include "process_fleet.hpp"
#include "raw_caller.hpp"

#include <algorithm>
#include <chrono>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <thread>

using namespace quincewing;
using namespace quincewing::testing;

/// Stops of hosts whose loops turn late.
namespace {

constexpr millis longest_wait{6000};

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
