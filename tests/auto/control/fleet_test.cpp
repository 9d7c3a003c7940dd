#include "fleet_run.hpp"
#include "test_options.hpp"

#include <doctest/doctest.h>
#include <iostream>

using namespace quincewing;
using namespace quincewing::testing;

namespace {

void run_schedules(bool checks_fences, std::uint64_t own)
{
    fleet_run_result sum;
    const auto schedules = schedules_or(own);
    for (std::uint64_t i = 0; i < schedules; ++i) {
        const auto seed = options().seed + i;
        const auto it = run_fleet_schedule(
            {.seed = seed, .checks_fences = checks_fences, .trace = options().only});
        REQUIRE_MESSAGE(it.violation.empty(), "seed " << seed << ": " << it.violation);
        sum.events += it.events;
        sum.requests += it.requests;
        sum.runs += it.runs;
        sum.ran += it.ran;
        sum.not_run += it.not_run;
        sum.unknown += it.unknown;
        sum.moves += it.moves;
    }
    std::cout << "fleet: " << schedules << " schedules, " << sum.events << " events, "
              << sum.requests << " requests, " << sum.runs << " runs, told ran " << sum.ran
              << " not_run " << sum.not_run << " unknown " << sum.unknown << ", moves " << sum.moves
              << "\n";
}

/// Whether one of the schedules from the seed on breaks a guarantee with a safety rule switched
/// off.
bool finds_violation(const agent_faults& faults, bool checks_fences, std::uint64_t schedules)
{
    for (std::uint64_t i = 0; i < schedules; ++i) {
        const auto seed = options().seed + i;
        const auto it =
            run_fleet_schedule({.seed = seed, .faults = faults, .checks_fences = checks_fences});
        if (!it.violation.empty()) {
            std::cout << "  seed " << seed << ": " << it.violation << "\n";
            return true;
        }
    }
    return false;
}

constexpr std::uint64_t mutation_schedules = 300;

} // namespace

TEST_CASE("fleet: guarantees hold with servers that check fences")
{
    run_schedules(true, 1'500);
}

TEST_CASE("fleet: guarantees hold with servers that do not check fences")
{
    run_schedules(false, 1'500);
}

TEST_CASE("fleet mutation: a request is dispatched before the standby has its ledger entry")
{
    CHECK(finds_violation({.dispatch_before_replication = true}, false, mutation_schedules));
}

TEST_CASE("fleet mutation: a shard moves without its ledger")
{
    CHECK(finds_violation({.release_without_ledger = true}, false, mutation_schedules));
}

TEST_CASE("fleet mutation: a shard is granted without the proof of release")
{
    CHECK(finds_violation({.grant_without_proof = true}, true, mutation_schedules));
}

TEST_CASE("fleet mutation: a shard is released before its last grant expires")
{
    CHECK(finds_violation({.skip_grant_expiry_wait = true}, true, mutation_schedules));
}

TEST_CASE("fleet mutation: an unknown outcome is reported as not_run")
{
    CHECK(finds_violation({.report_unknown_as_not_run = true}, false, mutation_schedules));
}

TEST_CASE("fleet mutation: a request with an unknown outcome is run again")
{
    CHECK(finds_violation({.rerun_after_unknown = true}, false, mutation_schedules));
}
