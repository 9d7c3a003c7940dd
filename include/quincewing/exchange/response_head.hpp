#pragma once

#include "quincewing/control/effects.hpp"
#include "quincewing/http/header_list.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace quincewing {

/// Status, headers and verdict of a response.
struct response_head
{
    int status{200};
    header_list headers;
    quincewing::verdict verdict{quincewing::verdict::ran};
    /// Why this request was not run; none when the response came from a server.
    refusal why{refusal::none};
    duration retry_after{};
    /// Length of the body in bytes, if known.
    std::optional<std::uint64_t> length;
    /// Why another host got no response from the server; empty when it did.
    std::string loss;
};

/// The HTTP status for a refusal with this verdict.
int status_of(refusal why, quincewing::verdict it);
/// The value of Retry-After: seconds rounded up, at least one.
std::string retry_after_seconds(duration it);
/// Head and body of the response for a final answer of this host.
std::pair<response_head, std::string> to_response(const final_answer& answer);

} // namespace quincewing
