#include "quincewing/dispatch/dispatcher.hpp"

#include <algorithm>
#include <cmath>

/// dispatcher: how long requests have to wait, which are rejected, and when their callers should
/// return.
namespace quincewing {

namespace {

constexpr double us_per_s = 1e6;

duration scaled(duration all, double factor)
{
    return std::chrono::duration_cast<duration>(all * factor);
}

/// Moments at which callers should return, one after the other. Beyond the longest time they are
/// spread anew.
struct return_schedule
{
    instant first;
    instant longest;
    duration gap;

    duration next(instant now, instant& until) const
    {
        auto at = std::max(first, until);
        if (at > longest) {
            at = first;
        }
        until = at + gap;
        return at - now;
    }
};

duration gap_of(double per_us)
{
    return duration{std::llround(1 / per_us)};
}

} // namespace

void dispatcher::note_load(instant now, const pool_capacity& capacity)
{
    const auto share = overloaded_ ? options_.overload_end_share : options_.overload_share;
    by_rank_ = options_.order == queue_order::rank && arrivals_.several_priorities(now);
    overloaded_ = arrivals_.rate(now).value > capacity.per_us * us_per_s * share;
}

// Requests that can hardly meet their latency objective, because it has passed or leaves no time
// to wait for a slot, may wait until nearer their deadline. Otherwise they would be served only
// when a slot is free at once, which never happens at a busy server.
void dispatcher::set_due(instant now, waiting_request& waiting, const pool_capacity& capacity) const
{
    waiting.objective = now + duration{waiting.request.objective_left};
    waiting.deadline = now + duration{waiting.request.time_left};
    const auto in_time = scaled(waiting.objective - now, options_.objective_share);
    waiting.tight = in_time < scaled(capacity.processing_time, options_.tight_objective_factor);
    if (!waiting.tight) {
        waiting.answer_due = std::min(now + in_time, waiting.deadline);
        return;
    }
    const auto late = scaled(duration{waiting.request.time_left}, options_.tight_deadline_share);
    waiting.answer_due =
        std::min(now + std::max({in_time, late, capacity.processing_time}), waiting.deadline);
}

double dispatcher::left_per_us(instant now, const waiting_request& waiting,
                               double completions_per_us) const
{
    if (!overloaded_) {
        return completions_per_us;
    }
    const auto before = rate_before(now, waiting.flow()).value;
    return std::max(completions_per_us - before / us_per_s,
                    completions_per_us * options_.least_capacity_share);
}

request_rate dispatcher::rate_before(instant now, const flow_id& flow) const
{
    request_rate out;
    // Classes below their floor go first, whatever their rank.
    if (by_rank_ && !below_floor(flow.traffic_class)) {
        const auto floor = options_.floor_share * shares_.overall_share();
        out.value =
            arrivals_.rate_before(now, flow).value + arrivals_.rate_behind(now, flow).value * floor;
    }
    if (flow.key && keys_.above_share(*flow.key)) {
        out.value = std::max(out.value, keys_.rate_of_others(*flow.key).value);
    }
    return out;
}

// The time until the eligible servers complete as many requests as are ahead in the queue, and
// one more for this one.
duration dispatcher::expected_wait(instant now, const waiting_request& waiting,
                                   const pool_capacity& capacity) const
{
    if (capacity.per_us <= 0) {
        const auto limited = capacity.all_limited ? capacity.first_token : duration{0};
        return std::max<duration>(options_.pool.estimate.min_backoff, limited);
    }
    const auto ahead = queue_.ahead_of(waiting, rank_function(), late_before(now));
    if (capacity.all_limited) {
        return capacity.first_token +
               duration{std::llround(static_cast<double>(ahead) / capacity.per_us)};
    }
    const auto per_us = left_per_us(now, waiting, capacity.per_us);
    return duration{std::llround(static_cast<double>(ahead + 1) / per_us)};
}

// As expected_wait, if servers that are being probed answer.
duration dispatcher::least_wait(instant now, const waiting_request& waiting,
                                const pool_capacity& capacity, std::size_t ahead) const
{
    if (capacity.possible_per_us <= 0) {
        return std::max(capacity.backoff_left, duration{0});
    }
    if (capacity.all_limited) {
        return capacity.first_token +
               duration{std::llround(static_cast<double>(ahead) / capacity.possible_per_us)};
    }
    const auto per_us = left_per_us(now, waiting, capacity.possible_per_us);
    return duration{std::llround(static_cast<double>(ahead + 1) / per_us)};
}

bool dispatcher::has_to_be_rejected(instant now, const waiting_request& waiting,
                                    const pool_capacity& capacity, duration wait) const
{
    const auto answer_at = now + wait + capacity.processing_time;
    if (!by_rank_) {
        return answer_at > waiting.answer_due;
    }
    if (!overloaded_) {
        const auto longest = scaled(waiting.deadline - now, options_.late_wait_share);
        return answer_at > std::max(waiting.answer_due, now + longest);
    }
    const auto margin =
        waiting.tight ? duration{0} : scaled(capacity.deviation, options_.wait_margin);
    return answer_at + margin > waiting.answer_due;
}

void dispatcher::reject(const waiting_request& waiting, duration retry_after, const char* reason)
{
    without_server_.erase(waiting.ticket);
    decisions_.rejections.push_back(
        {.ticket = waiting.ticket, .retry_after = retry_after, .reason = reason});
}

// Where servers limit their rate the first caller returns when there is room again, each further
// one when the servers take the next request. Otherwise callers return as a part of the servers'
// completions allows, so that they do not all meet the same full queue again.
void dispatcher::reject_busy(instant now, const waiting_request& waiting,
                             const pool_capacity& capacity, duration wait)
{
    if (capacity.all_limited && capacity.limited_rate.value > 0) {
        const auto longest = now + options_.max_limited_retry_after;
        const return_schedule schedule{.first = std::min(now + wait, longest),
                                       .longest = longest,
                                       .gap = gap_of(capacity.limited_rate.value / us_per_s)};
        reject(waiting,
               std::max<duration>(schedule.next(now, limited_returns_until_),
                                  options_.min_retry_after),
               "server_limit");
        return;
    }
    const auto honoured =
        std::clamp<duration>(scaled(waiting.deadline - now, options_.max_retry_share),
                             options_.min_retry_after, options_.max_retry_after);
    const auto first = std::clamp<duration>(wait, options_.min_retry_after, honoured);
    // As long as it can still be in time it should return before it can't.
    const auto in_time = waiting.objective - now - capacity.processing_time;
    const auto longest = in_time > first ? std::min<duration>(in_time, honoured) : honoured;
    const char* reason = capacity.all_limited ? "server_limit" : "too_busy";
    if (!by_rank_ || capacity.per_us <= 0) {
        reject(waiting,
               std::clamp<duration>(wait, options_.min_retry_after, options_.max_retry_after),
               reason);
        return;
    }
    const return_schedule schedule{.first = now + first,
                                   .longest = now + longest,
                                   .gap = gap_of(capacity.per_us * options_.returning_share)};
    reject(waiting, schedule.next(now, returns_until_), reason);
}

// Servers may have slowed down or been lost since a request was submitted, and others may have been
// put before it.
void dispatcher::reject_hopeless(instant now)
{
    if (queue_.empty()) {
        return;
    }
    std::map<std::pair<server_id, std::vector<server_id>>, pool_capacity> capacities;
    queue_walk walk{queue_, rank_function(), late_before(now)};
    std::size_t ahead = 0;
    while (const auto* next = walk.next()) {
        const auto& request = next->request;
        if (lost_its_servers(now, *next)) {
            reject(*next, options_.pool.estimate.min_backoff, "no_server");
            queue_.erase(dispatch_ticket{next->ticket});
            continue;
        }
        auto& capacity = capacities[{request.required_server, request.excluded_servers}];
        if (capacity.servers == 0) {
            capacity = pool_.capacity_for(now, request);
        }
        const auto wait = least_wait(now, *next, capacity, ahead);
        const bool in_time = now + wait + capacity.processing_time <= next->deadline;
        if (without_server_.contains(next->ticket) || in_time) {
            ++ahead;
            continue;
        }
        reject_busy(now, *next, capacity, wait);
        queue_.erase(dispatch_ticket{next->ticket});
    }
}

bool dispatcher::lost_its_servers(instant now, const waiting_request& waiting)
{
    if (pool_.any_eligible(waiting.request)) {
        without_server_.erase(waiting.ticket);
        return false;
    }
    if (waiting.request.required_server.value.empty()) {
        return true;
    }
    const auto since = without_server_.try_emplace(waiting.ticket, now).first;
    if (now - since->second <= options_.follow_owner_time) {
        return false;
    }
    return true;
}

} // namespace quincewing
