#pragma once

#include <cstdint>
#include <string_view>

namespace quincewing {

/// 64-bit hash, equal on all hosts and builds (XXH3).
std::uint64_t stable_hash(std::string_view buf, std::uint64_t seed = 0);

} // namespace quincewing
