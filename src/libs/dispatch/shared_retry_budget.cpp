#include "quincewing/dispatch/shared_retry_budget.hpp"

#include <algorithm>

namespace quincewing {

namespace {

double to_seconds(duration value)
{
    return static_cast<double>(value.count()) / 1e6;
}

} // namespace

// Retries are spent within about a window of the requests that earned them. Only a few can be
// saved up, so that no burst of retries falls into a window with few requests.
void shared_retry_budget::on_request(instant)
{
    constexpr double max_earned = 10;
    earned_ = std::min(max_earned, earned_ + options_.share * options_.usable_share);
}

void shared_retry_budget::refill(instant now, std::size_t hosts)
{
    const auto host_part = options_.extra * options_.usable_share /
                           static_cast<double>(std::max<std::size_t>(hosts, 1));
    if (extra_left_ < 0) {
        extra_left_ = host_part / 2;
        refilled_at_ = now;
        return;
    }
    // Half of the part may be spent at once, and half is refilled over a window: no window sees
    // more than the whole part.
    const auto refill_per_second = host_part / 2 / to_seconds(options_.window);
    extra_left_ =
        std::min(host_part / 2, extra_left_ + refill_per_second * to_seconds(now - refilled_at_));
    refilled_at_ = now;
}

bool shared_retry_budget::try_spend(instant now, std::size_t hosts)
{
    refill(now, hosts);
    if (earned_ >= 1) {
        earned_ -= 1;
        return true;
    }
    if (extra_left_ >= 1) {
        extra_left_ -= 1;
        return true;
    }
    return false;
}

} // namespace quincewing
