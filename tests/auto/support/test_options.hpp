#pragma once

#include <cstdint>
#include <string>

namespace quincewing::testing {

/// Seed and length of randomised tests; --seed=N and --schedules=N on the command line.
struct test_options
{
    std::uint64_t seed{1};
    /// Schedules of each randomised test; 0 for the test's own number.
    std::uint64_t schedules{0};
    /// Only the one schedule with the seed, told in full.
    bool only{false};
    /// Program of every second host of a fleet, to test two builds side by side; empty: today's.
    std::string other_program;
    /// File to which the encoded forms of this build are written; empty: none. For a build that
    /// lands: --write-wire-forms=tests/auto/wire/landed/COMMIT.txt
    std::string write_wire_forms;
};

test_options& options();

/// The number of schedules to run: the command line's, or this.
std::uint64_t schedules_or(std::uint64_t own);

} // namespace quincewing::testing
