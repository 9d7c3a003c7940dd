#pragma once

#include "quincewing/control/agent_options.hpp"

#include <cstdint>
#include <string>

namespace quincewing::testing {

struct fleet_run_options
{
    std::uint64_t seed{1};
    agent_faults faults;
    /// Servers reject old fences; otherwise only their leaders prevent concurrent serving.
    bool checks_fences{};
    /// Time in which faults are injected, in microseconds; a time without faults follows.
    long long fault_time{12'000'000};
    /// Prints every step.
    bool trace{};
};

struct fleet_run_result
{
    /// The first guarantee that was broken; empty when none was.
    std::string violation;
    std::uint64_t events{};
    std::uint64_t requests{};
    std::uint64_t runs{};
    std::uint64_t ran{};
    std::uint64_t not_run{};
    std::uint64_t unknown{};
    std::uint64_t moves{};
};

/// Simulates several hosts with a log, servers, operators and callers that retry. Kills and freezes
/// processes, cuts links, stops the log and drops messages, and checks the guarantees throughout.
fleet_run_result run_fleet_schedule(const fleet_run_options& options);

} // namespace quincewing::testing
