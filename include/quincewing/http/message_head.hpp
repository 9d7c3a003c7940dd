#pragma once

#include "quincewing/http/header_list.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace quincewing {

/// Start line and headers of a request or response, as received.
struct message_head
{
    /// Requests only.
    std::string method;
    /// Path and query; requests only.
    std::string target;
    /// Status code; responses only.
    int status{};
    header_list headers;
    /// HTTP/1.1; false for HTTP/1.0.
    bool version_1_1{true};
    /// The connection stays open after this message (RFC 9112, section 9.3).
    bool keep_alive{true};
    bool chunked{};
    /// Value of Content-Length, if present.
    std::optional<std::uint64_t> length;
};

/// Whether the bytes up to and including the empty line are a head that all parsers interpret
/// alike: CRLF line ends, no folded lines, no space before a colon, no control characters.
bool is_strict_head(std::string_view head, bool request);

} // namespace quincewing
