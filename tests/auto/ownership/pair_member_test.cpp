#include "pair_run.hpp"
#include "test_options.hpp"

#include <doctest/doctest.h>
#include <iostream>

using namespace quincewing;
using namespace quincewing::testing;

namespace {

/// Returns the first seed from options().seed on at which two hosts act at once; 0 if there is
/// none.
std::uint64_t first_violation(const pair_faults& faults, std::uint64_t schedules,
                              duration silence_timeout = pair_options{}.silence_timeout)
{
    for (std::uint64_t i = 0; i < schedules; ++i) {
        const auto seed = options().seed + i;
        const auto result = run_pair_schedule(seed, faults, silence_timeout);
        if (!result.violation.empty()) {
            std::cout << "  seed " << seed << ": " << result.violation << "\n";
            return seed;
        }
    }
    return 0;
}

constexpr std::uint64_t mutation_schedules = 40'000;

} // namespace

TEST_CASE("pair: never two hosts act at once")
{
    double acting = 0;
    const auto schedules = schedules_or(5'000);
    for (std::uint64_t i = 0; i < schedules; ++i) {
        const auto seed = options().seed + i;
        const auto result = run_pair_schedule(seed, {});
        REQUIRE_MESSAGE(result.violation.empty(), "seed " << seed << ": " << result.violation);
        acting += result.acting;
    }
    std::cout << "pair: " << schedules << " schedules, some host acts "
              << 100 * acting / static_cast<double>(schedules) << "% of events\n";
}

TEST_CASE("pair mutation: lease counted from the acknowledgment's arrival")
{
    CHECK(first_violation({.lease_from_ack_arrival = true}, mutation_schedules) != 0);
}

TEST_CASE("pair mutation: members identified by address alone")
{
    CHECK(first_violation({.members_by_address = true}, mutation_schedules) != 0);
}

TEST_CASE("pair mutation: failover without the log has no time limit")
{
    CHECK(first_violation({.proof_without_time_bound = true}, mutation_schedules) != 0);
}

TEST_CASE("pair mutation: hosts outside the pair do not wait for the hold")
{
    CHECK(first_violation({.no_hold_for_third_party = true}, mutation_schedules) != 0);
}

TEST_CASE("pair mutation: the next change does not inherit the hold")
{
    CHECK(first_violation({.hold_not_inherited = true}, mutation_schedules) != 0);
}

TEST_CASE("pair mutation: a standby that is not in sync counts as in sync")
{
    CHECK(first_violation({.unsynced_standby_treated_as_synced = true}, mutation_schedules) != 0);
}

TEST_CASE("pair mutation: a new standby gets heartbeats while the old one may still take over")
{
    CHECK(first_violation({.no_delay_for_new_standby = true}, mutation_schedules) != 0);
}

TEST_CASE("pair mutation: a takeover does not wait for the lease")
{
    // With a silence timeout above the lease, the old leader has stopped acting before the standby
    // proposes a takeover. Only a shorter one makes safety depend on the wait.
    constexpr millis short_timeout{400};
    CHECK(first_violation({}, 5'000, short_timeout) == 0);
    CHECK(first_violation({.takeover_without_wait = true}, 5'000, short_timeout) != 0);
}
