#pragma once

#include <cstdint>
#include <string>

namespace quincewing {

/// "ip:port" taken apart.
struct endpoint
{
    std::string ip;
    std::uint16_t port{};
};

endpoint parse_endpoint(const std::string& address);

} // namespace quincewing
