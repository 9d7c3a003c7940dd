#include "cases.hpp"
#include "request_load.hpp"

#include "entry_fleet.hpp"
#include "http_server.hpp"

#include <algorithm>
#include <csignal>
#include <iostream>
#include <map>
#include <stdexcept>

namespace quincewing::review {

namespace {

constexpr int hosts = 6;
constexpr int slots = 64;
constexpr seconds ready_timeout{20};
/// The rate that the server takes, and what callers want of it, in requests a second.
constexpr double limit = 40;
constexpr double wanted = 200;
/// As a machine of the users' small deployments has them.
constexpr const char* host_settings =
    "cores = 0.2\nmemory = 260MiB\ndescriptors = 4100\nextra_grants = 2\n";

// The frozen host gets no requests of its own: it only gives out the places at the server.
constexpr seconds first_load{5};
constexpr seconds second_load{16};
constexpr seconds first_freeze_at{6};
constexpr millis freeze_length{300};
constexpr int freezes = 2;
constexpr millis freeze_interval{2600};

// The rule: from 3 s after the limit was first named, in some 4 s more than one and a half times
// what it allows, and 5 requests.
constexpr long long settle_ns = 3'000'000'000;
constexpr long long window_ns = 4'000'000'000;
/// A host counts from so long after it has passed on an answer that names the limit.
constexpr long long passed_on_ns = 500'000'000;
constexpr double allowed = 1.5 * limit * 4 + 5;

struct window
{
    std::size_t requests{};
    long long from_ns{};
};

window fullest_window(const std::vector<long long>& times)
{
    window out;
    for (auto first = times.begin(); first != times.end(); ++first) {
        const auto end = std::lower_bound(first, times.end(), *first + window_ns);
        const auto n = static_cast<std::size_t>(end - first);
        if (n > out.requests) {
            out = {.requests = n, .from_ns = *first};
        }
    }
    return out;
}

/// The host that gave out the places at the server so far.
int giving_host(const testing::entry_fleet& fleet)
{
    int out = -1;
    double most = 0;
    for (int i = 0; i < hosts; ++i) {
        const auto n = fleet.metric(i, "quincewing_dispatch_grants_total{slot=\"own\"}");
        if (n > most) {
            most = n;
            out = i;
        }
    }
    if (out < 0) {
        throw std::runtime_error{"no host gave out places"};
    }
    return out;
}

/// When each request's host had first passed on an answer of the server, by the request. Hosts that
/// passed on none have no requests in it.
std::map<std::string, long long> first_answers(const std::vector<load_answer>& answers)
{
    constexpr int http_ok = 200;
    std::map<std::size_t, long long> by_host;
    for (const auto& it : answers) {
        const auto known = by_host.find(it.host);
        const bool earlier = known == by_host.end() || it.answered_ns < known->second;
        if (it.status == http_ok && earlier) {
            by_host[it.host] = it.answered_ns;
        }
    }
    std::map<std::string, long long> out;
    for (const auto& it : answers) {
        if (const auto known = by_host.find(it.host); known != by_host.end()) {
            out[it.request] = known->second;
        }
    }
    return out;
}

std::vector<timed_step> freeze_steps(testing::entry_fleet& fleet, int host)
{
    std::vector<timed_step> out;
    for (int i = 0; i < freezes; ++i) {
        const auto at = first_freeze_at + i * freeze_interval;
        out.emplace_back(at, [&fleet, host] { fleet.host(host).signal(SIGSTOP); });
        out.emplace_back(at + freeze_length, [&fleet, host] { fleet.host(host).signal(SIGCONT); });
    }
    return out;
}

} // namespace

case_result run_limit_case(bool trouble, std::ostream& record)
{
    testing::entry_fleet fleet{
        {.hosts = hosts, .servers = 1, .slots = slots, .entry_settings = host_settings}};
    if (!fleet.wait_ready(ready_timeout)) {
        throw std::runtime_error{"the hosts are not ready"};
    }
    fleet.say(0, "limit=" + std::to_string(static_cast<int>(limit)));
    const auto named_ns = standin::now_ns();
    request_load_options load{.per_second = wanted, .length = first_load, .name = "first"};
    for (int i = 0; i < hosts; ++i) {
        load.hosts.push_back(fleet.callers(i));
    }
    const auto first = run_load(load);
    const auto giving = giving_host(fleet);
    load.hosts.erase(load.hosts.begin() + giving);
    load.length = second_load;
    load.name = "second";
    if (trouble) {
        load.steps = freeze_steps(fleet, giving);
    }
    const auto second = run_load(load);

    record << "limit " << limit << " named_ns " << named_ns << " frozen_host " << giving << "\n";
    write_answers(record, first);
    write_answers(record, second);
    const auto passed_on = first_answers(second);
    std::vector<long long> times;
    for (const auto& it : fleet.arrivals(0)) {
        record << "arrived " << it.request << " at_ns " << it.at_ns << "\n";
        const auto known = passed_on.find(it.request);
        const bool counts = known != passed_on.end() && it.at_ns >= known->second + passed_on_ns;
        if (it.at_ns >= named_ns + settle_ns && counts) {
            times.push_back(it.at_ns);
        }
    }
    const auto fullest = fullest_window(times);
    std::cout << "limit " << limit << " a second: " << fullest.requests
              << " requests reached the server in 4 s by hosts that were never frozen, " << allowed
              << " are allowed\n";
    record << "fullest_window from_ns " << fullest.from_ns << " requests " << fullest.requests
           << " allowed " << allowed << "\n";
    return static_cast<double>(fullest.requests) > allowed ? case_result::broken
                                                           : case_result::held;
}

} // namespace quincewing::review
