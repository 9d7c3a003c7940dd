#pragma once

#include "quincewing/assignment/coordinator.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace quincewing::testing {

/// What schedules did, so that a check that never applied is noticed.
struct search_counts
{
    std::uint64_t evacuations{};
    /// Of these, the ones after which the bound was over with room in the other data centre.
    std::uint64_t evacuations_checked{};
    std::uint64_t cold_returns{};
    /// New tables in which a cold server gained keys.
    std::uint64_t cold_gains{};
    std::uint64_t bursts{};
    /// Servers that started at the address of another one.
    std::uint64_t addresses_reused{};
};

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
    /// Operators evacuate one of two data centres and take it back.
    bool evacuations{};
    /// All servers of a data centre are lost at once and come back cold.
    bool cold_returns{};
    /// Checks that cold servers gain keys only as their rate allows.
    bool check_cold_gains{};
    /// Bursts of requests for one key, for neighbouring keys or for all.
    bool bursts{};
    /// Two services have keys. Servers end, and a server of the other service starts at the address
    /// of one that has ended while that one's entry is still registered.
    bool reused_addresses{};
    /// Without these, hosts ignore the operators' orders, or the limits of cold servers. Tests show
    /// with them that the checks find that.
    bool follow_orders{true};
    bool limit_cold_servers{true};
    /// Added to. May be null.
    search_counts* counts{};
    /// Takes a safety rule away from all hosts. May be empty.
    std::function<void(coordinator_options&)> mutate;
};

/// Simulates hosts, servers and a store with random faults from one seed. Returns a description of
/// the first violation: two servers held a key at the same time, a key moved without a higher
/// fence, an evacuated data centre owned keys after the bound though the other had room, or a cold
/// server gained keys beyond its rate that another could have taken. Returns nullopt without
/// violation.
std::optional<std::string> search_coordinators(std::uint64_t seed,
                                               const search_options& options = {});

} // namespace quincewing::testing
