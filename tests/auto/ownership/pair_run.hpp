#pragma once

#include "quincewing/ownership/pair_member.hpp"

#include <cstdint>
#include <string>

namespace quincewing::testing {

/// Outcome of one random schedule.
struct pair_run_result
{
    /// Time and hosts of the first moment at which two hosts could act; empty when there was none.
    std::string violation;
    /// Fraction of events after which some host could act.
    double acting{};
    /// Changes of the pair in the log.
    int changes{};
};

/// Simulates the pair logic of a few hosts under crashes, pauses, network partitions, lost and
/// delayed messages, log outages, late appends, clock drift and claims by hosts outside the pair.
/// With a silence timeout below the lease, safety depends only on the other rules.
pair_run_result run_pair_schedule(std::uint64_t seed, const pair_faults& faults,
                                  duration silence_timeout = pair_options{}.silence_timeout);

} // namespace quincewing::testing
