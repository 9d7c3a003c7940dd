#include "caller.hpp"
#include "fleet.hpp"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>

/// One endpoint in six spoils a byte of one of its answers: that to a release of keys, while it is
/// emptied. Requests that the host has passed on to the other endpoints must be answered.

namespace {

using review::now_ms;
using review::sleep_ms;

constexpr long long ready_timeout_ms = 30'000;
constexpr long long traffic_ms = 12'000;
constexpr long long watch_ms = 6'000;
constexpr int endpoints = 6;
constexpr int hosts = 2;
constexpr int callers_per_host = 8;
constexpr int key_count = 65'536;
// A host that is in touch may break off as many.
constexpr int allowed_losses = 3;
constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;
constexpr const char* faulty = "gauges-0";

using callers = std::vector<std::unique_ptr<review::caller>>;

/// The endpoint that began to work on each request.
std::map<std::string, std::string> runs_of(const std::string& journal)
{
    std::map<std::string, std::string> out;
    std::ifstream in{journal};
    std::string text;
    while (std::getline(in, text)) {
        std::istringstream words{text};
        std::string at;
        std::string endpoint;
        std::string what;
        std::string id;
        words >> at >> endpoint >> what >> id;
        if (what == "run") {
            out[id] = endpoint;
        }
    }
    return out;
}

/// Requests on kept connections that a sound endpoint ran and whose connection the host closed
/// without an answer: the most at one host.
int most_losses(const callers& all, const std::map<std::string, std::string>& runs)
{
    int answered = 0;
    std::vector<int> lost(hosts);
    for (std::size_t i = 0; i < all.size(); ++i) {
        for (const auto& it : all[i]->sent()) {
            answered += it.status != 0 ? 1 : 0;
            const auto run = runs.find(it.id);
            if (it.closed && it.earlier > 0 && run != runs.end() && run->second != faulty) {
                ++lost[i % hosts];
                std::cout << it.ended_at << " request " << it.id << " at work at " << run->second
                          << " is lost: no answer, the connection ended\n";
            }
        }
    }
    const auto most = *std::max_element(lost.begin(), lost.end());
    std::cout << answered << " requests answered, at most " << most << " lost at one host\n";
    return most;
}

void report_ends(review::fleet& it)
{
    for (std::size_t i = 0; i < it.hosts(); ++i) {
        if (const auto status = it.host(i).ended()) {
            std::cout << "host " << i + 1 << " ended by itself, by signal " << (*status & 0x7f)
                      << "\n";
        }
    }
}

} // namespace

// Arguments: PROGRAM ENDPOINT-PROGRAM FOLDER TROUBLE.
int main(int, char** argv)
{
    const bool trouble = std::string{argv[4]} != "0";
    review::fleet it{
        {.folder = argv[3],
         .program = argv[1],
         .endpoint_program = argv[2],
         .configuration = review::format_configuration({"gauges"}, "non_idempotent", true)}};
    for (int i = 0; i < endpoints; ++i) {
        const auto id = "gauges-" + std::to_string(i);
        const bool spoils = trouble && id == faulty;
        it.add_endpoint(id, "gauges", review::free_address(),
                        spoils ? std::vector<std::string>{"spoils"} : std::vector<std::string>{});
    }
    for (int i = 0; i < hosts; ++i) {
        it.add_host();
    }
    if (!it.wait_ready(ready_timeout_ms)) {
        std::cout << "the hosts are not ready\n";
        return exit_not_run;
    }
    callers all;
    for (int i = 0; i < hosts * callers_per_host; ++i) {
        all.push_back(std::make_unique<review::caller>(review::caller_options{
            .address = it.at(static_cast<std::size_t>(i % hosts)).callers,
            .request = "POST /gauges/order?work_ms=150",
            .name = "caller" + std::to_string(i),
            .first_key = i * key_count / (hosts * callers_per_host),
            .last_key = (i + 1) * key_count / (hosts * callers_per_host) - 1}));
    }
    sleep_ms(traffic_ms);
    std::cout << now_ms() << " " << faulty << " is emptied\n";
    it.endpoint(faulty).signal(SIGTERM);
    sleep_ms(watch_ms);
    for (const auto& caller : all) {
        caller->stop();
    }
    report_ends(it);
    return most_losses(all, runs_of(it.journal())) > allowed_losses ? exit_broken : exit_held;
}
