#include "quincewing/net/endpoint.hpp"

#include <cstdlib>

namespace quincewing {

endpoint parse_endpoint(const std::string& address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) {
        return {.ip = address};
    }
    const auto port = std::strtoul(address.c_str() + colon + 1, nullptr, 10);
    return {.ip = address.substr(0, colon), .port = static_cast<std::uint16_t>(port)};
}

} // namespace quincewing
