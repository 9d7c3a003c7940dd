#pragma once

#include <cstdint>
#include <string_view>

namespace quincewing {

/// The parts of a request that a repeat of it has in common with it. Empty parts do not count.
struct request_contents
{
    std::string_view method;
    /// Path and query.
    std::string_view target;
    std::string_view body;
    std::string_view host;
    /// How the caller identifies itself.
    std::string_view credentials;
};

/// Hash of the contents, equal on all hosts.
std::uint64_t fingerprint_of(const request_contents& it);

} // namespace quincewing
