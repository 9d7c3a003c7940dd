#include "quincewing/dispatch/fair_share_tracker.hpp"

#include <cmath>

namespace quincewing {

void fair_share_tracker::decay(instant now)
{
    constexpr millis min_interval{100};
    if (now - decayed_at_ < min_interval) {
        return;
    }
    const auto elapsed = std::chrono::duration<double>(now - decayed_at_);
    const auto decay_time = std::chrono::duration<double>(options_.decay_time);
    const auto factor = std::exp(-elapsed / decay_time);
    decayed_at_ = now;
    for (auto& [traffic_class, count] : classes_) {
        count.submitted *= factor;
        count.granted *= factor;
    }
    std::erase_if(classes_, [](const auto& entry) { return entry.second.submitted < 0.01; });
}

void fair_share_tracker::on_submitted(instant now, std::uint64_t traffic_class)
{
    decay(now);
    classes_[traffic_class].submitted += 1;
}

void fair_share_tracker::on_granted(instant now, std::uint64_t traffic_class)
{
    decay(now);
    classes_[traffic_class].granted += 1;
}

double fair_share_tracker::score(std::uint64_t traffic_class, std::uint32_t priority) const
{
    const auto found = classes_.find(traffic_class);
    const auto count = found == classes_.end() ? counts{} : found->second;
    const auto share =
        (count.granted + options_.prior_count) / (count.submitted + options_.prior_count);
    return share + options_.share_step_per_priority * priority;
}

} // namespace quincewing
