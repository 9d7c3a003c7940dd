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

double fair_share_tracker::overall_share() const
{
    counts all{.submitted = options_.prior_count, .granted = options_.prior_count};
    for (const auto& [traffic_class, count] : classes_) {
        all.submitted += count.submitted;
        all.granted += count.granted;
    }
    return all.granted / all.submitted;
}

// A class of which little is known counts as one that got as much as the others. As one that got
// everything it would come behind them each time, for as long as it is rare.
double fair_share_tracker::share(std::uint64_t traffic_class) const
{
    const auto found = classes_.find(traffic_class);
    const auto count = found == classes_.end() ? counts{} : found->second;
    return (count.granted + options_.prior_count * overall_share()) /
           (count.submitted + options_.prior_count);
}

double fair_share_tracker::score(std::uint64_t traffic_class, std::uint32_t priority) const
{
    return share(traffic_class) + options_.share_step_per_priority * priority;
}

} // namespace quincewing
