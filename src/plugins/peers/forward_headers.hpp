#pragma once

#include "quincewing/exchange/exchange.hpp"

#include <optional>

namespace quincewing {

/// A request as the headers of a stream between entry hosts, and back.
header_list to_stream_headers(const exchange& it, instant now);
exchange_ptr from_stream_headers(const header_list& headers, instant now);

/// The head of an answer as the headers of a stream, and back.
header_list to_stream_headers(const response_head& it);
response_head head_from_stream(const header_list& headers);

} // namespace quincewing
