#include "pair_run.hpp"
#include "test_options.hpp"

#include <doctest/doctest.h>
#include <iostream>

using namespace quincewing;
using namespace quincewing::testing;

namespace {

/// The first schedule at or after the seed that breaks the rule; 0 when none does.
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

TEST_CASE("pair mutation: members named by address")
{
    CHECK(first_violation({.members_by_address = true}, mutation_schedules) != 0);
}

TEST_CASE("pair mutation: proof of death without the time bound")
{
    CHECK(first_violation({.proof_without_time_bound = true}, mutation_schedules) != 0);
}

TEST_CASE("pair mutation: third parties do not wait for the hold")
{
    CHECK(first_violation({.no_hold_for_third_party = true}, mutation_schedules) != 0);
}

TEST_CASE("pair mutation: the next change does not inherit the hold")
{
    CHECK(first_violation({.hold_not_inherited = true}, mutation_schedules) != 0);
}

TEST_CASE("pair mutation: an unheard standby counts as a full one")
{
    CHECK(first_violation({.unsynced_standby_treated_as_synced = true}, mutation_schedules) != 0);
}

TEST_CASE("pair mutation: a new standby is standby_in_sync while the old one may prove a death")
{
    CHECK(first_violation({.no_delay_for_new_standby = true}, mutation_schedules) != 0);
}

TEST_CASE("pair mutation: a takeover does not wait for the lease")
{
    // With a silence_timeout above the lease the old leader has stopped before a takeover is tried,
    // and the wait adds nothing; it has to carry the takeover alone when the silence_timeout is
    // short.
    constexpr millis short_patience{400};
    CHECK(first_violation({}, 5'000, short_patience) == 0);
    CHECK(first_violation({.takeover_without_wait = true}, 5'000, short_patience) != 0);
}
