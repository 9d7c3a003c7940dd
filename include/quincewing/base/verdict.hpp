#pragma once

#include <cstdint>

namespace quincewing {

/// Whether a request may have run at a backend server.
/// not_run: no byte of it reached a server, or the server itself said so.
enum class verdict : std::uint8_t
{
    not_run,
    unknown,
    ran
};

const char* to_string(verdict it);

} // namespace quincewing
