#include "quincewing/dispatch/server_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace quincewing {

void server_estimate::on_report(instant now, const attempt_report& report,
                                std::uint32_t slots_in_use_here)
{
    if (report.outcome == attempt_outcome::unused) {
        return;
    }
    if (report.running >= 0) {
        const auto at_server = static_cast<std::uint32_t>(report.running + report.waiting);
        used_by_others_ = at_server > slots_in_use_here ? at_server - slots_in_use_here : 0;
        used_by_others_until_ = now + processing_time();
    }
    const bool lost = report.outcome == attempt_outcome::connection_lost;
    const bool failed = lost || report.outcome == attempt_outcome::failed ||
                        report.outcome == attempt_outcome::rejected;
    failure_rate_ += options_.failure_weight * ((failed ? 1.0 : 0.0) - failure_rate_);
    if (report.outcome == attempt_outcome::answered) {
        const auto us = static_cast<double>(report.took);
        processing_time_us_ = processing_time_us_
                                  ? *processing_time_us_ + options_.processing_time_weight *
                                                               (us - *processing_time_us_)
                                  : us;
        backoff_ = duration{0};
        backoff_until_ = {};
        return;
    }
    if (lost) {
        backoff_ = std::clamp<duration>(backoff_ * 2, options_.min_backoff, options_.max_backoff);
        backoff_until_ = now + backoff_;
    }
}

duration server_estimate::processing_time() const
{
    return processing_time_us_ ? duration{std::llround(*processing_time_us_)}
                               : options_.initial_processing_time;
}

std::uint32_t server_estimate::slots_used_by_others(instant now) const
{
    return now < used_by_others_until_ ? used_by_others_ : 0;
}

} // namespace quincewing
