#include "quincewing/dispatch/dispatcher_choice.hpp"

#include "quincewing/base/hash.hpp"

#include <algorithm>
#include <string>

namespace quincewing {

namespace {

// Hosts with at least this share of the cores of the strongest dispatch.
constexpr double min_share_of_strongest = 0.5;

double least_cores(const std::vector<dispatch_candidate>& candidates)
{
    double most = 0;
    for (const auto& it : candidates) {
        if (it.cores <= 0) {
            return 0;
        }
        most = it.skipped ? most : std::max(most, it.cores);
    }
    return most * min_share_of_strongest;
}

} // namespace

// Rendezvous hashing among those that are strong enough.
const dispatch_candidate* choose_dispatcher(std::string_view group,
                                            const std::vector<dispatch_candidate>& candidates)
{
    const auto least = least_cores(candidates);
    const dispatch_candidate* best = nullptr;
    std::uint64_t best_hash = 0;
    std::string name{group};
    for (const auto& it : candidates) {
        if (it.skipped || it.cores < least) {
            continue;
        }
        name.resize(group.size());
        name += it.host.value;
        const auto hash = stable_hash(name);
        if (best == nullptr || hash > best_hash) {
            best = &it;
            best_hash = hash;
        }
    }
    return best;
}

} // namespace quincewing
