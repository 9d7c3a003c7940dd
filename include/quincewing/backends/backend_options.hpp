#pragma once

#include "quincewing/base/time.hpp"

#include <cstddef>

namespace quincewing {

struct backend_options
{
    /// Connections to one server in all.
    std::size_t max_connections{100};
    /// An idle connection is closed after this time.
    duration idle{seconds{30}};
    /// A non-idempotent request goes only on a connection that answered within this time.
    duration fresh{seconds{1}};
    /// A request without an answer for this long has its connection checked.
    duration late{millis{250}};
    duration connect_timeout{millis{500}};
    /// Longest silence of a server with a request. Longer than any deadline.
    duration response_timeout{seconds{60}};
    /// Time within which a grant, revocation or probe must be answered.
    duration command_timeout{millis{500}};
    /// Largest answer that is kept for repeats.
    std::size_t keep_bytes{64UL * 1024};
};

} // namespace quincewing
