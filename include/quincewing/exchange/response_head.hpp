#pragma once

#include "quincewing/control/effects.hpp"
#include "quincewing/http/header_list.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace quincewing {

/// First part of an answer.
struct response_head
{
    int status{200};
    header_list headers;
    quincewing::verdict verdict{quincewing::verdict::ran};
    /// Why there was no run of its own; none for a server's answer.
    refusal why{refusal::none};
    duration retry_after{};
    /// Bytes that follow, when known.
    std::optional<std::uint64_t> length;
};

/// The status that tells a caller this refusal.
int status_of(refusal why, quincewing::verdict it);
/// The value of Retry-After: whole seconds, at least one.
std::string retry_after_seconds(duration it);
/// The head of a final answer made here, with its body.
std::pair<response_head, std::string> to_response(const final_answer& answer);

} // namespace quincewing
