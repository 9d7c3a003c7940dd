#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace quincewing::testing {

/// Simulates hosts, servers and a store with random faults from one seed. Returns a description of
/// the first violation: two servers held a key at the same time, or a key moved without a higher
/// fence. Returns nullopt without violation.
std::optional<std::string> search_coordinators(std::uint64_t seed);

} // namespace quincewing::testing
