#pragma once

namespace quincewing {

/// A reset instead of an orderly close of this socket: what still waits to be sent is dropped.
void reset_on_close(int fd);

} // namespace quincewing
