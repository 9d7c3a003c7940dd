#include "quincewing/deployment/owner_wait.hpp"

#include <algorithm>

namespace quincewing {

duration remaining_owner_wait(const key_owner& owner, duration waited, duration left,
                              const owner_wait_options& options)
{
    if (owner.server.value.empty()) {
        return duration{0};
    }
    const auto part = std::chrono::duration_cast<duration>(left * options.left_share);
    const auto most = std::min(options.longest, part);
    return std::max<duration>(most - waited, duration{0});
}

} // namespace quincewing
