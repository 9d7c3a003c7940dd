#include "quincewing/dispatch/server_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace quincewing {

void server_estimate::on_report(instant now, const attempt_report& report,
                                std::uint32_t in_use_here)
{
    if (report.outcome == attempt_outcome::unused) {
        return;
    }
    if (report.running >= 0) {
        const auto at_server = static_cast<std::uint32_t>(report.running + report.waiting);
        others_ = at_server > in_use_here ? at_server - in_use_here : 0;
        others_until_ = now + work();
    }
    const bool lost = report.outcome == attempt_outcome::connection_lost;
    const bool bad = lost || report.outcome == attempt_outcome::failed ||
                     report.outcome == attempt_outcome::rejected;
    failures_ += options_.newest_failure_share * ((bad ? 1.0 : 0.0) - failures_);
    if (report.outcome == attempt_outcome::answered) {
        const auto us = static_cast<double>(report.took);
        work_us_ = work_us_ ? *work_us_ + options_.newest_share * (us - *work_us_) : us;
        rest_ = duration{0};
        rest_until_ = {};
        return;
    }
    if (lost) {
        rest_ = std::clamp<duration>(rest_ * 2, options_.rest_least, options_.rest_most);
        rest_until_ = now + rest_;
    }
}

duration server_estimate::work() const
{
    return work_us_ ? duration{std::llround(*work_us_)} : options_.first_guess;
}

std::uint32_t server_estimate::used_by_others(instant now) const
{
    return now < others_until_ ? others_ : 0;
}

} // namespace quincewing
