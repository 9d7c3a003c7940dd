#pragma once

#include "quincewing/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace quincewing {

/// The requests that a server refused on one connection and that may be sent again until they end.
class refused_requests
{
public:
    /// until: the request is not sent after that.
    void add(std::uint64_t request, instant now, instant until);
    [[nodiscard]] bool contains(std::uint64_t request) const;
    /// It can take no more: the connection must not be used again.
    [[nodiscard]] bool full() const { return requests_.size() >= max_requests; }

private:
    struct refused
    {
        std::uint64_t request{};
        instant until;
    };

    static constexpr std::size_t max_requests = 256;

    std::vector<refused> requests_;
};

} // namespace quincewing
