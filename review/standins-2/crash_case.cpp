#include "cases.hpp"
#include "reborn_servers.hpp"
#include "request_load.hpp"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <stdexcept>
#include <thread>

namespace quincewing::review {

namespace {

constexpr int hosts = 3;
constexpr seconds ready_timeout{20};
constexpr const char* host_settings =
    "cores = 0.2\nmemory = 260MiB\ndescriptors = 4100\nextra_grants = 2\n";

constexpr seconds length{26};
constexpr seconds deadline{2};
constexpr millis look_period{10};
/// Requests of the other callers, and repeats of the one that crashes servers, a second.
constexpr double others_per_second = 80;
constexpr double repeats_per_second = 3.3;

// The rule: later than 3 s after it has crashed the third server, it reaches servers in more than
// three retries. Their way takes less than the margin.
constexpr std::size_t tolerated_crashes = 3;
constexpr std::size_t tolerated_retries = 3;
constexpr long long settle_ns = 3'000'000'000;
constexpr long long margin_ns = 100'000'000;

struct arrival
{
    std::string request;
    long long at_ns{};
};

std::vector<arrival> arrivals_in(const std::vector<std::string>& journals, const std::string& name)
{
    std::vector<arrival> out;
    for (const auto& file : journals) {
        std::ifstream in{file};
        std::string what;
        arrival it;
        while (in >> what >> it.request >> it.at_ns) {
            if (what == "start" && it.request.starts_with(name)) {
                out.push_back(it);
            }
        }
    }
    std::sort(out.begin(), out.end(),
              [](const auto& a, const auto& b) { return a.at_ns < b.at_ns; });
    return out;
}

std::size_t late_retries(const std::vector<arrival>& runs)
{
    if (runs.size() <= tolerated_crashes) {
        return 0;
    }
    const auto known_ns = runs[tolerated_crashes - 1].at_ns + settle_ns + margin_ns;
    return static_cast<std::size_t>(std::count_if(
        runs.begin(), runs.end(), [&](const auto& it) { return it.at_ns > known_ns; }));
}

} // namespace

case_result run_crash_case(bool trouble, std::ostream& record)
{
    testing::entry_fleet fleet{{.hosts = hosts, .servers = 0, .entry_settings = host_settings}};
    reborn_servers servers{fleet, {}};
    if (!fleet.wait_ready(ready_timeout)) {
        throw std::runtime_error{"the hosts are not ready"};
    }
    request_load_options others{.per_second = others_per_second,
                                .length = length,
                                .deadline = deadline,
                                .same_path = false,
                                .name = "other"};
    for (int i = 0; i < hosts; ++i) {
        others.hosts.push_back(fleet.callers(i));
    }
    request_load_options repeats{.hosts = others.hosts,
                                 .per_second = repeats_per_second,
                                 .length = length,
                                 .deadline = deadline,
                                 .method = "POST",
                                 .path = trouble ? "/order/door?crash=1&work_ms=50"
                                                 : "/order/door?work_ms=50",
                                 .body = "open door 7",
                                 .name = "crash"};
    for (duration at{0}; at < length; at += look_period) {
        others.steps.emplace_back(at, [&servers] { servers.look(); });
    }
    std::vector<load_answer> repeat_answers;
    std::thread repeating{[&] { repeat_answers = run_load(repeats); }};
    const auto other_answers = run_load(others);
    repeating.join();

    write_answers(record, repeat_answers);
    write_answers(record, other_answers);
    const auto runs = arrivals_in(servers.journals(), "crash");
    for (const auto& it : runs) {
        record << "ran " << it.request << " at_ns " << it.at_ns << "\n";
    }
    const auto late = trouble ? late_retries(runs) : 0;
    const auto failed = std::count_if(other_answers.begin(), other_answers.end(),
                                      [](const auto& it) { return it.status != 200; });
    std::cout << "the request ran " << runs.size() << " times at servers that started "
              << servers.starts() << " times; " << late << " retries came later than 3 s after the "
              << "third crash, " << tolerated_retries << " are allowed; " << failed << " of "
              << other_answers.size() << " other requests failed\n";
    return late > tolerated_retries ? case_result::broken : case_result::held;
}

} // namespace quincewing::review
