#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace quincewing::testing {

/// Rules that a run of the search may leave out.
struct coordinator_mutation
{
    bool release_without_new_fence{};
    bool no_bound_by_reads{};
};

/// Plays whole hosts, servers and a store under random trouble, from one seed. Returns what went
/// wrong: two servers that held one key at the same time.
std::optional<std::string> search_coordinators(std::uint64_t seed,
                                               const coordinator_mutation& mutation = {});

} // namespace quincewing::testing
