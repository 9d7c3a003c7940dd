#pragma once

#include <cstddef>

namespace quincewing {

/// Bytes that were written to the TCP socket and that the other end has not acknowledged; 0 if the
/// system does not tell.
std::size_t unacknowledged_bytes(int fd);

} // namespace quincewing
