#include "quincewing/dispatch/rate_bucket.hpp"

#include <algorithm>
#include <cmath>

namespace quincewing {

namespace {

// Requests that are allowed at once after a pause, as time at the rate; one at least.
constexpr std::chrono::duration<double> burst{0.25};
// Stands for a wait without end.
constexpr seconds longest_wait{3600};

} // namespace

double rate_bucket::tokens_at(instant now) const
{
    const auto elapsed = std::chrono::duration<double>(now - filled_at_).count();
    const auto most = std::max(1.0, rate_.value * burst.count());
    return std::min(tokens_ + rate_.value * std::max(elapsed, 0.0), most);
}

void rate_bucket::set_rate(instant now, request_rate rate)
{
    if (rate == rate_) {
        return;
    }
    tokens_ = tokens_at(now);
    filled_at_ = now;
    rate_ = rate;
    tokens_ = tokens_at(now);
}

duration rate_bucket::wait(instant now) const
{
    const auto missing = 1.0 - tokens_at(now);
    // Sums of fractions fall short of a whole token by a rounding error.
    if (missing <= 1e-9) {
        return duration{0};
    }
    const auto us = rate_.value > 0 ? missing / rate_.value * 1e6 : INFINITY;
    return us < static_cast<double>(duration{longest_wait}.count())
               ? duration{static_cast<duration::rep>(std::ceil(us))}
               : duration{longest_wait};
}

void rate_bucket::take(instant now)
{
    tokens_ = tokens_at(now) - 1.0;
    filled_at_ = now;
}

} // namespace quincewing
