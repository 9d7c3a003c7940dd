#pragma once

#include "quincewing/base/time.hpp"
#include "quincewing/dispatch/dispatch_request.hpp"

#include <compare>
#include <cstdint>
#include <optional>

namespace quincewing {

/// Requests of one flow compete in order of their due time; flows compete by rank.
struct flow_id
{
    std::uint64_t traffic_class{};
    /// 0 is the most urgent.
    std::uint32_t priority{};
    /// Key of a keyed service; empty otherwise.
    std::optional<std::uint16_t> key;
    /// The objective can hardly be met, because it has passed or leaves no time to wait.
    bool tight{};

    auto operator<=>(const flow_id&) const = default;
};

/// A request that waits for a slot.
struct waiting_request
{
    dispatch_ticket ticket;
    dispatch_request request;
    instant objective;
    instant deadline;
    /// The request may wait only while its answer is expected before this.
    instant answer_due;
    /// See flow_id::tight.
    bool tight{};

    [[nodiscard]] flow_id flow() const
    {
        return {.traffic_class = request.traffic_class,
                .priority = request.priority,
                .key = request.key_number(),
                .tight = tight};
    }
};

} // namespace quincewing
