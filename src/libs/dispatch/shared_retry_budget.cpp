#include "quincewing/dispatch/shared_retry_budget.hpp"

#include <algorithm>

namespace quincewing {

namespace {

constexpr std::int64_t slices_per_window = 20;

} // namespace

std::int64_t shared_retry_budget::slice_of(instant now) const
{
    return now.time_since_epoch() / (options_.window / slices_per_window);
}

void shared_retry_budget::on_request(instant now)
{
    forget_old(now);
    const auto slice = slice_of(now);
    if (counts_.empty() || counts_.back().slice != slice) {
        counts_.push_back({.slice = slice});
    }
    ++counts_.back().requests;
    ++requests_;
}

// The first slice is left out, since a part of it is older than the window.
void shared_retry_budget::forget_old(instant now)
{
    const auto oldest = slice_of(now) - slices_per_window + 1;
    while (!counts_.empty() && counts_.front().slice < oldest) {
        requests_ -= counts_.front().requests;
        counts_.pop_front();
    }
    while (!retries_.empty() && retries_.front() <= now - options_.window) {
        retries_.pop_front();
    }
}

bool shared_retry_budget::try_spend(instant now, std::size_t hosts)
{
    forget_old(now);
    const bool has_fixed_part = now - started_ >= options_.window;
    const auto fixed_part =
        has_fixed_part ? options_.extra / static_cast<double>(std::max<std::size_t>(hosts, 1)) : 0;
    const auto earned = options_.share * static_cast<double>(requests_);
    const auto allowed = options_.usable_share * (earned + fixed_part);
    if (static_cast<double>(retries_.size() + 1) > allowed) {
        return false;
    }
    retries_.push_back(now);
    return true;
}

} // namespace quincewing
