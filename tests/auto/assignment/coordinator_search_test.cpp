#include "coordinator_search.hpp"

#include "test_options.hpp"

#include <doctest/doctest.h>
#include <string>

using namespace quincewing::testing;

namespace {

constexpr std::uint64_t default_schedules = 250;
constexpr std::uint64_t mutation_schedules = 2000;

/// Number of the first schedule with a violation, counted from 1; 0 if there is none.
std::uint64_t first_violation(std::uint64_t schedules, const search_options& search = {})
{
    const auto seed = options().seed;
    for (std::uint64_t i = 0; i < schedules; ++i) {
        if (const auto violation = search_coordinators(seed + i, search)) {
            MESSAGE("seed " << seed + i << ": " << *violation);
            return i + 1;
        }
    }
    return 0;
}

} // namespace

TEST_CASE("coordinators: at most one holder of each key under random faults")
{
    const auto schedules = schedules_or(default_schedules);
    MESSAGE("seed " << options().seed << ", schedules " << schedules);
    CHECK(first_violation(schedules) == 0);
}

// failure: a store that came back older made two servers hold the same keys.
TEST_CASE("coordinators with drills: at most one holder of each key")
{
    const auto schedules = schedules_or(default_schedules);
    MESSAGE("seed " << options().seed << ", schedules " << schedules);
    SUBCASE("without other faults")
    {
        CHECK(first_violation(schedules, {.faults = false, .drills = true}) == 0);
    }
    SUBCASE("beside all faults")
    {
        CHECK(first_violation(schedules, {.drills = true}) == 0);
    }
}

TEST_CASE("coordinators with drills mutation: each rule is needed")
{
    search_options search{.drills = true};
    SUBCASE("fences are above those of earlier eras")
    {
        search.mutate = [](auto& it) { it.fences_above_earlier_eras = false; };
    }
    SUBCASE("grants of earlier eras are waited for")
    {
        search.mutate = [](auto& it) { it.wait_in_new_era = false; };
    }
    SUBCASE("a table of an earlier era names no coordinator")
    {
        search.mutate = [](auto& it) { it.heed_era_of_table = false; };
    }
    SUBCASE("a host that starts anew does not take an empty store for a new deployment")
    {
        search.mutate = [](auto& it) { it.first_start = true; };
    }
    CHECK(first_violation(mutation_schedules, search) > 0);
}

// failure: a term whose giving up the store did not answer was resumed under the fences that a
// restarted server had.
TEST_CASE("coordinators that give up: at most one holder of each key")
{
    const auto schedules = schedules_or(default_schedules);
    MESSAGE("seed " << options().seed << ", schedules " << schedules);
    CHECK(first_violation(schedules, {.terms_given_up = true}) == 0);
}

// failure: an answer that a server wrote once more confirmed a release, and two servers worked on
// the same keys.
TEST_CASE("coordinators with repeated answers: at most one holder of each key")
{
    const auto schedules = schedules_or(default_schedules);
    MESSAGE("seed " << options().seed << ", schedules " << schedules);
    SUBCASE("without other faults")
    {
        CHECK(first_violation(schedules, {.faults = false, .repeated_answers = true}) == 0);
    }
    SUBCASE("beside all faults")
    {
        CHECK(first_violation(schedules, {.repeated_answers = true}) == 0);
    }
    SUBCASE("beside drills and all faults")
    {
        CHECK(first_violation(schedules, {.drills = true, .repeated_answers = true}) == 0);
    }
}

// failure: a holder at work answered a release that was sent once more, without a token, and the
// keys were given on.
TEST_CASE("coordinators with repeated answers and early ones: at most one holder of each key")
{
    const auto schedules = schedules_or(default_schedules);
    MESSAGE("seed " << options().seed << ", schedules " << schedules);
    SUBCASE("without other faults")
    {
        CHECK(first_violation(schedules,
                              {.faults = false, .repeated_answers = true, .early_answers = true}) ==
              0);
    }
    SUBCASE("beside all faults")
    {
        CHECK(first_violation(schedules, {.repeated_answers = true, .early_answers = true}) == 0);
    }
}

TEST_CASE("coordinators with repeated answers mutation: only a token confirms a release")
{
    const search_options search{.repeated_answers = true,
                                .early_answers = true,
                                .mutate = [](auto& it) { it.release_by_token = false; }};
    CHECK(first_violation(mutation_schedules, search) > 0);
}

TEST_CASE("coordinators with repeated answers mutation: only its own answer confirms a release")
{
    const search_options search{.repeated_answers = true,
                                .mutate = [](auto& it) { it.release_by_own_answer = false; }};
    CHECK(first_violation(mutation_schedules, search) > 0);
}

// failure: a coordinator that had just begun granted a dead server's keys to the process of another
// service that had its address by then.
TEST_CASE("coordinators with reused addresses: at most one holder of each key")
{
    const auto schedules = schedules_or(default_schedules);
    MESSAGE("seed " << options().seed << ", schedules " << schedules);
    search_counts counts;
    SUBCASE("without other faults")
    {
        CHECK(first_violation(schedules,
                              {.faults = false, .reused_addresses = true, .counts = &counts}) == 0);
    }
    SUBCASE("beside all faults")
    {
        CHECK(first_violation(
                  schedules,
                  {.terms_given_up = true, .reused_addresses = true, .counts = &counts}) == 0);
    }
    SUBCASE("beside drills and all faults")
    {
        CHECK(first_violation(schedules, {.drills = true,
                                          .terms_given_up = true,
                                          .reused_addresses = true,
                                          .counts = &counts}) == 0);
    }
    CHECK(counts.addresses_reused > schedules);
}

TEST_CASE("coordinators with reused addresses mutation: servers are identified before a grant")
{
    const search_options search{.faults = false, .reused_addresses = true, .mutate = [](auto& it) {
                                    it.identify_servers = false;
                                }};
    CHECK(first_violation(mutation_schedules, search) > 0);
}

TEST_CASE("coordinators: seeds that failed before")
{
    // Faults behind the seeds: a restart was taken as proof of release; a restarted server was
    // renewed under the fence of its old process; a split range lost its last confirmed grant; a
    // read older than an own append restored the old table.
    for (const std::uint64_t seed : {162, 1, 3057, 5221}) {
        const auto violation = search_coordinators(seed);
        CAPTURE(seed);
        CHECK_MESSAGE(!violation, violation.value_or(""));
    }
}
