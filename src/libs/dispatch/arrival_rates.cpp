#include "quincewing/dispatch/arrival_rates.hpp"

#include <algorithm>
#include <cmath>

namespace quincewing {

namespace {

// Keeps the order from changing with each gap between the requests of a rare class.
constexpr seconds priority_memory{10};

double seconds_of(duration it)
{
    return std::chrono::duration<double>(it).count();
}

} // namespace

double arrival_rates::factor(instant now) const
{
    return std::exp(-seconds_of(now - decayed_at_) / seconds_of(time_constant_));
}

void arrival_rates::on_submitted(instant now, const flow_id& flow)
{
    const auto decayed = factor(now);
    decayed_at_ = now;
    for (auto& [it, count] : counts_) {
        count *= decayed;
    }
    counts_[{.tight = flow.tight, .priority = flow.priority}] += 1;
    last_arrival_[flow.priority] = now;
}

bool arrival_rates::several_priorities(instant now) const
{
    return std::count_if(last_arrival_.begin(), last_arrival_.end(),
                         [&](const auto& it) { return now - it.second < priority_memory; }) > 1;
}

request_rate arrival_rates::rate_if(instant now,
                                    const std::function<bool(const rank&)>& wanted) const
{
    double count = 0;
    for (const auto& [it, n] : counts_) {
        count += wanted(it) ? n : 0;
    }
    return request_rate{count * factor(now) / seconds_of(time_constant_)};
}

request_rate arrival_rates::rate(instant now) const
{
    return rate_if(now, [](const rank&) { return true; });
}

request_rate arrival_rates::rate_before(instant now, const flow_id& flow) const
{
    return rate_if(now, [&](const rank& it) {
        const bool more_urgent = it.priority < flow.priority;
        return flow.tight ? !it.tight || more_urgent : !it.tight && more_urgent;
    });
}

request_rate arrival_rates::rate_behind(instant now, const flow_id& flow) const
{
    return rate_if(now, [&](const rank& it) {
        const bool less_urgent = it.priority > flow.priority;
        return flow.tight ? it.tight && less_urgent : it.tight || less_urgent;
    });
}

} // namespace quincewing
