#include "caller.hpp"
#include "fleet.hpp"

#include <iostream>

/// Two endpoints in six spoil one byte of each fiftieth answer. No client may get a success without
/// an endpoint's signature.

namespace {

using review::sleep_ms;

constexpr long long ready_timeout_ms = 30'000;
constexpr long long traffic_ms = 25'000;
constexpr int endpoints = 6;
constexpr int garbling_endpoints = 2;
constexpr int hosts = 2;
constexpr int callers_per_host = 8;
constexpr int first_success = 200;
constexpr int first_redirection = 300;
constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;

} // namespace

// Arguments: PROGRAM ENDPOINT-PROGRAM FOLDER TROUBLE.
int main(int, char** argv)
{
    const bool trouble = std::string{argv[4]} != "0";
    review::fleet it{
        {.folder = argv[3],
         .program = argv[1],
         .endpoint_program = argv[2],
         .configuration = review::format_configuration({"maps"}, "non_idempotent", false)}};
    for (int i = 0; i < endpoints; ++i) {
        std::vector<std::string> flags{"unsharded"};
        if (trouble && i < garbling_endpoints) {
            flags.emplace_back("garbles");
        }
        it.add_endpoint("maps-" + std::to_string(i), "maps", review::free_address(), flags);
    }
    for (int i = 0; i < hosts; ++i) {
        it.add_host();
    }
    if (!it.wait_ready(ready_timeout_ms)) {
        std::cout << "the hosts are not ready\n";
        return exit_not_run;
    }
    std::vector<std::unique_ptr<review::caller>> callers;
    for (int i = 0; i < hosts * callers_per_host; ++i) {
        callers.push_back(std::make_unique<review::caller>(
            review::caller_options{.address = it.at(static_cast<std::size_t>(i % hosts)).callers,
                                   .request = "POST /maps/pack?work_ms=20",
                                   .name = "caller" + std::to_string(i),
                                   .last_key = 1}));
    }
    sleep_ms(traffic_ms);
    int successes = 0;
    int without_signature = 0;
    for (const auto& caller : callers) {
        caller->stop();
        for (const auto& request : caller->sent()) {
            const bool success =
                request.status >= first_success && request.status < first_redirection;
            successes += success ? 1 : 0;
            if (success && !request.has_signature) {
                ++without_signature;
                std::cout << request.ended_at << " request " << request.id << " is answered "
                          << request.status << " without a signature\n";
            }
        }
    }
    std::cout << successes << " successes, " << without_signature << " without a signature\n";
    return without_signature > 0 ? exit_broken : exit_held;
}
