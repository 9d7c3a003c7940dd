#include "quincewing/dispatch/server_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace quincewing {

void server_estimate::on_report(instant now, const report_context& context,
                                const attempt_report& report)
{
    if (report.outcome == attempt_outcome::unused ||
        report.outcome == attempt_outcome::host_cut_off) {
        return;
    }
    if (report.running >= 0) {
        const auto at_server = static_cast<std::uint32_t>(report.running + report.waiting);
        used_by_others_ = at_server > context.slots_in_use ? at_server - context.slots_in_use : 0;
        used_by_others_until_ = now + processing_time(now);
    }
    note_slowness(now, report);
    if (report.outcome == attempt_outcome::connection_lost) {
        on_lost(now, context, report);
        return;
    }
    const bool failed =
        report.outcome == attempt_outcome::failed || report.outcome == attempt_outcome::rejected;
    failure_rate_ += options_.failure_weight * ((failed ? 1.0 : 0.0) - failure_rate_);
    if (report.outcome == attempt_outcome::answered) {
        note_processing_time(report);
        lost_by_.clear();
        last_answer_at_ = now;
        backoff_ = duration{0};
        backoff_until_ = {};
    }
}

void server_estimate::note_processing_time(const attempt_report& report)
{
    auto us = static_cast<double>(report.took);
    if (!processing_time_us_) {
        processing_time_us_ = us;
        deviation_us_ = us * options_.initial_deviation_share;
        return;
    }
    // One request that takes very long tells little of the next ones.
    us = std::min(us, options_.outlier_factor * *processing_time_us_);
    const auto error = us - *processing_time_us_;
    processing_time_us_ = *processing_time_us_ + options_.processing_time_weight * error;
    deviation_us_ += options_.processing_time_weight * (std::abs(error) - deviation_us_);
}

void server_estimate::note_slowness(instant now, const attempt_report& report)
{
    if (report.slowness == 0) {
        return;
    }
    slowness_ = report.slowness;
    slowness_at_ = now;
    mean_slowness_ = mean_slowness_ > 0 ? mean_slowness_ + options_.processing_time_weight *
                                                               (slowness_ - mean_slowness_)
                                        : slowness_;
}

// A server that is probed has answered nobody since it was lost: one host's word is enough then.
void server_estimate::on_lost(instant now, const report_context& context,
                              const attempt_report& report)
{
    const auto silence = std::max<duration>(duration{static_cast<duration::rep>(report.took)},
                                            options_.least_silence);
    if (context.losing_hosts > 1 && now - last_answer_at_ < silence) {
        return;
    }
    std::erase_if(lost_by_, [&](const auto& it) { return now - it.second > options_.loss_memory; });
    lost_by_[context.from] = now;
    if (!report.lost_by_other.value.empty()) {
        lost_by_[report.lost_by_other] = now;
    }
    if (!probing() && lost_by_.size() < context.losing_hosts) {
        return;
    }
    failure_rate_ += options_.failure_weight * (1.0 - failure_rate_);
    backoff_ = std::clamp<duration>(backoff_ * 2, options_.min_backoff, options_.max_backoff);
    backoff_until_ = now + backoff_;
}

// A server may tell how its speed compares with that of others. That is part of the processing time
// already, so only the difference from its own mean counts; and that fades, as a disturbance ends.
double server_estimate::relative_slowness(instant now) const
{
    if (mean_slowness_ <= 0) {
        return 1;
    }
    const auto age = std::chrono::duration<double>(now - slowness_at_);
    const auto left = 1 - age / std::chrono::duration<double>(options_.slowness_memory);
    return 1 + (slowness_ / mean_slowness_ - 1) * std::clamp(left, 0.0, 1.0);
}

duration server_estimate::mean_processing_time() const
{
    return processing_time_us_ ? duration{std::llround(*processing_time_us_)}
                               : options_.initial_processing_time;
}

duration server_estimate::processing_time(instant now) const
{
    const auto mean = static_cast<double>(mean_processing_time().count());
    return duration{std::llround(mean * relative_slowness(now))};
}

duration server_estimate::deviation() const
{
    if (!processing_time_us_) {
        const auto initial = static_cast<double>(options_.initial_processing_time.count());
        return duration{std::llround(initial * options_.initial_deviation_share)};
    }
    return duration{std::llround(deviation_us_)};
}

std::uint32_t server_estimate::slots_used_by_others(instant now) const
{
    return now < used_by_others_until_ ? used_by_others_ : 0;
}

} // namespace quincewing
