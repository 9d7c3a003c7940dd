#pragma once

#include "quincewing/wire/messages.hpp"

#include <cstdint>
#include <limits>

namespace quincewing {

/// An age of which nothing is known.
constexpr std::uint64_t unknown_age = std::numeric_limits<std::uint64_t>::max();

/// The beat of a coordinator that knows now and told last: versions of what was told, ages of now.
coordinator_beat told_beat(const coordinator_beat& now, const coordinator_beat& last);

} // namespace quincewing
