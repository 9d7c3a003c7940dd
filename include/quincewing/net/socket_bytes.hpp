#pragma once

#include <cstddef>

namespace quincewing {

/// Bytes that were written to the TCP socket and that the other end has not acknowledged; 0 if the
/// system does not tell.
std::size_t unacknowledged_bytes(int fd);

/// Bytes that came on the socket and were not read yet; 0 if the system does not tell.
std::size_t unread_bytes(int fd);

} // namespace quincewing
