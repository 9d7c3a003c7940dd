#pragma once

#include "quincewing/ownership/pair_member.hpp"

#include <cstdint>
#include <string>

namespace quincewing::testing {

/// What a random schedule of one pair showed.
struct pair_run_result
{
    /// Empty when no two hosts could act at once.
    std::string violation;
    /// Share of the time in which some host could act.
    double acting{};
    int changes{};
};

/// Runs the pair logic of a few hosts against kills, freezes, cuts, lost and late messages, log
/// outages, late appends, clocks that drift, and claims by third parties.
/// A silence_timeout shorter than the lease leaves all to the rules that do not rest on it.
pair_run_result run_pair_schedule(std::uint64_t seed, const pair_faults& faults,
                                  duration silence_timeout = pair_options{}.silence_timeout);

} // namespace quincewing::testing
