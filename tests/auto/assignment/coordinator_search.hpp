#pragma once

#include "quincewing/assignment/coordinator.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace quincewing::testing {

struct search_options
{
    /// Outages, cuts, suspensions, crashes and lost or late calls.
    bool faults{true};
    /// The store goes away for up to 5 s and comes back from a copy 1 to 10 s old.
    bool drills{};
    /// Coordinators give their terms up, many of them soon after they took them.
    bool terms_given_up{};
    /// Servers write answers once more. Their work goes on after a release, which is answered when
    /// it has ended, and a connection carries one call at a time.
    bool repeated_answers{};
    /// With repeated answers: a server that is at work on keys that it has released answers a
    /// further release of them at once, without a token.
    bool early_answers{};
    /// Takes a safety rule away from all hosts. May be empty.
    std::function<void(coordinator_options&)> mutate;
};

/// Simulates hosts, servers and a store with random faults from one seed. Returns a description of
/// the first violation: two servers held a key at the same time, or a key moved without a higher
/// fence. Returns nullopt without violation.
std::optional<std::string> search_coordinators(std::uint64_t seed,
                                               const search_options& options = {});

} // namespace quincewing::testing
