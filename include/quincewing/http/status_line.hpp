#pragma once

#include <string_view>

namespace quincewing {

/// Whether the line is the first one of a response whose status is three digits, from 100 to 599
/// (RFC 9110, section 15).
[[nodiscard]] bool is_status_line(std::string_view line);

/// Whether a response of this status can be the answer to a request: from 200 to 599.
[[nodiscard]] bool is_final_status(int status);

} // namespace quincewing
