#pragma once

#include "quincewing/base/strong.hpp"

#include <cstdint>
#include <optional>

namespace quincewing {

/// A connection that holds memory for its caller.
using memory_holder = strong<struct memory_holder_tag, std::uint64_t>;

/// What a connection holds, and how far it has come.
struct memory_usage
{
    /// Bytes of heads, and of bodies with what was reserved for them.
    std::uint64_t requests{};
    /// Bytes that were read and not parsed yet.
    std::uint64_t input{};
    /// Bytes of answers that the caller has not read.
    std::uint64_t answers{};
    /// A body is being received.
    bool receiving_body{};
    /// A head is being received.
    bool receiving_head{};
    /// A complete request has no complete answer yet.
    bool handling{};
    /// Bytes that the body being received still lacks. If its length was not announced, those that
    /// the next growth of its buffer takes; none: not known.
    std::optional<std::uint64_t> missing;
    /// Bytes received of all bodies, and sent of all answers; they only grow.
    std::uint64_t received{};
    std::uint64_t sent{};

    [[nodiscard]] std::uint64_t total() const { return requests + input + answers; }
};

} // namespace quincewing
