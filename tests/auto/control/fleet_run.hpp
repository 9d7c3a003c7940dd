#pragma once

#include "quincewing/control/agent_options.hpp"

#include <cstdint>
#include <string>

namespace quincewing::testing {

struct fleet_run_options
{
    std::uint64_t seed{1};
    agent_faults faults;
    /// Servers refuse old fences; otherwise their leaders alone keep order.
    bool checks_fences{};
    /// Time with trouble, in microseconds; a quiet time follows.
    long long trouble_time{12'000'000};
    bool tell{};
};

struct fleet_run_result
{
    /// Empty when every promise was kept.
    std::string violation;
    std::uint64_t events{};
    std::uint64_t requests{};
    std::uint64_t runs{};
    std::uint64_t ran{};
    std::uint64_t not_run{};
    std::uint64_t unknown{};
    std::uint64_t moves{};
};

/// Runs whole hosts' decisions against a log, servers, operators and callers with retries, under
/// kills, freezes, cuts, outages and lost messages, and checks the promises at every event.
fleet_run_result run_fleet_schedule(const fleet_run_options& options);

} // namespace quincewing::testing
