#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace quincewing::testing {

/// Plays whole hosts, servers and a store under random trouble, from one seed. Returns what went
/// wrong: two servers that held one key at the same time.
std::optional<std::string> search_coordinators(std::uint64_t seed);

} // namespace quincewing::testing
