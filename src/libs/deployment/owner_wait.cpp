#include "quincewing/deployment/owner_wait.hpp"

#include <algorithm>

namespace quincewing {

duration remaining_owner_wait(const key_owner& owner, duration waited, duration time_left,
                              const owner_wait_options& options)
{
    if (owner.server.value.empty()) {
        return duration{0};
    }
    const auto share_limit =
        std::chrono::duration_cast<duration>(time_left * options.max_share_of_time_left);
    const auto max_wait = std::min(options.max_wait, share_limit);
    return std::max<duration>(max_wait - waited, duration{0});
}

} // namespace quincewing
