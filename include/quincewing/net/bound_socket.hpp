#pragma once

#include <string>

namespace quincewing {

/// A TCP socket whose connections leave from this ip; -1 if there is none. An empty ip leaves the
/// choice to the system.
int open_socket_from(const std::string& ip);

} // namespace quincewing
