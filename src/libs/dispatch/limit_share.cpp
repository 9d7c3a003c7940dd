#include "quincewing/dispatch/limit_share.hpp"

#include <algorithm>

namespace quincewing {

// Each host lends its part of a server's limit to the dispatcher that it asks. All hosts that are
// connected ask the same one, so that the parts add up to no more than the limit when hosts lose
// sight of each other. A host that is asked though another one should be cannot know who else
// asks, and takes only its own part. A fallback dispatcher has none, as those who asked in vain may
// be many.
double limit_share(const limit_share_input& it)
{
    if (it.fallback) {
        return 0;
    }
    const auto known = static_cast<double>(std::max<std::size_t>(it.known_hosts, 1));
    const auto lent = it.chosen ? static_cast<double>(it.connected_hosts) : 1.0;
    return std::min(lent / known, 1.0);
}

} // namespace quincewing
