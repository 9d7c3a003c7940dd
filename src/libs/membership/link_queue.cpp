#include "quincewing/membership/link_queue.hpp"

#include <algorithm>
#include <limits>

namespace quincewing {

namespace {

// Hosts with at least this share of the cores of the strongest are linked at once.
constexpr double min_share_of_strongest = 0.5;
// A link costs a small host about half a millisecond of a core, and as much when it is answered.
constexpr double batch_of_whole_core = 50;
constexpr std::size_t min_batch = 4;

} // namespace

void link_queue::add(const std::string& address, double cores)
{
    if (!waiting_addresses_.insert(address).second) {
        return;
    }
    most_cores_ = std::max(most_cores_, cores);
    waiting_.push_back({.address = address, .cores = cores});
}

std::size_t link_queue::batch() const
{
    if (own_cores_ <= 0) {
        return std::numeric_limits<std::size_t>::max();
    }
    return std::max(min_batch, static_cast<std::size_t>(batch_of_whole_core * own_cores_));
}

std::set<std::string> link_queue::take_due()
{
    std::set<std::string> out;
    const auto least = most_cores_ * min_share_of_strongest;
    const auto strongest =
        std::stable_partition(waiting_.begin(), waiting_.end(),
                              [&](const auto& it) { return it.cores > 0 && it.cores >= least; });
    const auto others = std::min<std::size_t>(
        batch(), static_cast<std::size_t>(std::distance(strongest, waiting_.end())));
    const auto end = strongest + static_cast<std::ptrdiff_t>(others);
    for (auto it = waiting_.begin(); it != end; ++it) {
        out.insert(it->address);
        waiting_addresses_.erase(it->address);
    }
    waiting_.erase(waiting_.begin(), end);
    return out;
}

} // namespace quincewing
