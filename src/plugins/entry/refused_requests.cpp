#include "refused_requests.hpp"

#include <algorithm>

namespace quincewing {

void refused_requests::add(std::uint64_t request, instant now, instant until)
{
    std::erase_if(requests_, [&](const auto& it) { return it.until < now; });
    requests_.push_back({.request = request, .until = until});
}

bool refused_requests::contains(std::uint64_t request) const
{
    return std::any_of(requests_.begin(), requests_.end(),
                       [&](const auto& it) { return it.request == request; });
}

} // namespace quincewing
