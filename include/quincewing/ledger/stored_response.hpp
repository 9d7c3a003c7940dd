#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace quincewing {

/// A backend server's response, stored to answer repeats of its request.
struct stored_response
{
    std::uint32_t status{};
    std::map<std::string, std::string> headers;
    std::string body;
    /// The body was too large, or was removed to limit the memory used.
    bool body_dropped{};

    template <class F>
    void each_field(F&& f)
    {
        f(status);
        f(headers);
        f(body);
        f(body_dropped);
    }
};

} // namespace quincewing
