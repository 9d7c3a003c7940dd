#pragma once

#include "quincewing/http/message_head.hpp"

namespace quincewing {

/// Why a request is refused before it is forwarded.
enum class request_fault
{
    none,
    /// Parsers may disagree on where the request ends or on whom it is for.
    invalid,
    /// A method, upgrade or transfer coding that this host does not implement.
    unsupported
};

/// Checks a request's head, of which is_strict_head() is true, before anything is forwarded.
request_fault check_request(const message_head& head);

} // namespace quincewing
