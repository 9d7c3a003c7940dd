#pragma once

#include "quincewing/http/header_list.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace quincewing {

/// First part of a request or of an answer, as it stood on the wire.
struct message_head
{
    /// Requests only.
    std::string method;
    /// Path and query; requests only.
    std::string target;
    /// Answers only.
    int status{};
    header_list headers;
    /// The message's version is HTTP/1.1.
    bool version_1_1{true};
    /// The connection may be used again after this message.
    bool keep_alive{true};
    bool chunked{};
    /// Bytes of the body, when the head says so.
    std::optional<std::uint64_t> length;
};

/// Whether the bytes up to the empty line are a head that all parsers read alike: CRLF line
/// ends, no folded lines, no space before a colon, no control characters.
bool is_strict_head(std::string_view head, bool request);

} // namespace quincewing
