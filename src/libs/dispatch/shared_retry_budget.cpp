#include "quincewing/dispatch/shared_retry_budget.hpp"

#include <algorithm>

namespace quincewing {

namespace {

double seconds_of(duration it)
{
    return static_cast<double>(it.count()) / 1e6;
}

} // namespace

// What requests earned is spent within about a window of them; the most that can be saved is a
// few repeats, so that no burst of repeats meets a window with few requests.
void shared_retry_budget::on_request(instant)
{
    constexpr double most_saved = 10;
    earned_ = std::min(most_saved, earned_ + options_.share * options_.used);
}

void shared_retry_budget::refill(instant now, std::size_t hosts)
{
    const auto part =
        options_.extra * options_.used / static_cast<double>(std::max<std::size_t>(hosts, 1));
    if (extra_ < 0) {
        extra_ = part / 2;
        filled_ = now;
        return;
    }
    // Half may be spent at once and the other half comes back over a window: in any window at
    // most the whole part.
    const auto rate = part / 2 / seconds_of(options_.window);
    extra_ = std::min(part / 2, extra_ + rate * seconds_of(now - filled_));
    filled_ = now;
}

bool shared_retry_budget::try_spend(instant now, std::size_t hosts)
{
    refill(now, hosts);
    if (earned_ >= 1) {
        earned_ -= 1;
        return true;
    }
    if (extra_ >= 1) {
        extra_ -= 1;
        return true;
    }
    return false;
}

} // namespace quincewing
