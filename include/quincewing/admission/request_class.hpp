#pragma once

#include <cstddef>
#include <cstdint>

namespace quincewing {

/// Scheduling class of a request. The classes share a server by weight, so that none starves.
enum class request_class : std::uint8_t
{
    /// Non-idempotent: deposits, releases, waivers, acknowledgments.
    write,
    read,
    /// Large responses: map packs, archives.
    bulk
};

constexpr std::size_t request_class_count = 3;

const char* to_string(request_class it);

} // namespace quincewing
