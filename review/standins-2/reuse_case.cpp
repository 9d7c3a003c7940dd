#include "cases.hpp"
#include "keyed_servers.hpp"

#include "entry_fleet.hpp"
#include "http_server.hpp"

#include <csignal>
#include <iostream>
#include <stdexcept>
#include <thread>

namespace quincewing::review {

namespace {

constexpr int hosts = 3;
constexpr int servers_each = 6;
constexpr seconds ready_timeout{20};
constexpr const char* host_settings =
    "cores = 0.2\nmemory = 260MiB\ndescriptors = 4100\nextra_grants = 2\n";
constexpr const char* boats = "boats";
constexpr const char* gauges = "gauges";

constexpr seconds calm_time{5};
/// An address may be given away so long after the end of its server (`addrReuseS`).
constexpr millis reuse_time{2000};
/// The entry of a server that crashed between two heartbeats stays so long: heartbeats come each
/// 1.5 s, and it goes after three of them.
constexpr millis entry_time{3750};
/// A server's first entry is written so long after it takes requests: less than a heartbeat.
constexpr millis first_entry_after{1000};
/// The coordinating host is stopped so long after the end of the server; another one takes its
/// place within two seconds.
constexpr millis stop_time{1250};
constexpr seconds watch_time{8};

// The rule: two servers that are up hold the same keys for over half a second.
constexpr long long allowed_ns = 500'000'000;

} // namespace

case_result run_reuse_case(bool trouble, std::ostream& record)
{
    testing::entry_fleet fleet{
        {.hosts = hosts, .servers = 0, .keyed = true, .entry_settings = host_settings}};
    keyed_servers servers{fleet};
    servers.configure({boats, gauges});
    for (int i = 0; i < servers_each; ++i) {
        servers.start("b-" + std::to_string(i), boats);
        servers.start("g-" + std::to_string(i), gauges);
        servers.write_entry("b-" + std::to_string(i));
        servers.write_entry("g-" + std::to_string(i));
    }
    if (!fleet.wait_ready(ready_timeout)) {
        throw std::runtime_error{"the hosts are not ready"};
    }
    std::this_thread::sleep_for(calm_time);
    const auto coordinating = fleet.coordinating_host();
    if (coordinating < 0 || !servers.all_hold_keys()) {
        throw std::runtime_error{"the servers have no keys"};
    }

    const auto ended_at = std::chrono::steady_clock::now();
    const auto address = servers.kill("b-0");
    std::this_thread::sleep_until(ended_at + stop_time);
    fleet.host(coordinating).signal(SIGTERM);
    std::this_thread::sleep_until(ended_at + reuse_time);
    if (trouble) {
        servers.start_at("g-new", gauges, address);
    } else {
        servers.start("g-new", gauges);
    }
    std::this_thread::sleep_until(ended_at + reuse_time + first_entry_after);
    servers.write_entry("g-new");
    std::this_thread::sleep_until(ended_at + entry_time);
    servers.remove_entry("b-0");
    std::this_thread::sleep_for(watch_time);

    servers.write_record(record);
    const auto longest = servers.longest_shared(gauges);
    std::cout << "two endpoints of one service held " << longest.keys << " for "
              << longest.time_ns / 1'000'000 << " ms, " << allowed_ns / 1'000'000
              << " ms are allowed: " << longest.servers << "\n";
    record << "longest shared " << longest.keys << " time_ns " << longest.time_ns << " by "
           << longest.servers << "\n";
    return longest.time_ns > allowed_ns ? case_result::broken : case_result::held;
}

} // namespace quincewing::review
