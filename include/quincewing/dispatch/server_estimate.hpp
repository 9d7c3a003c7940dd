#pragma once

#include "quincewing/dispatch/dispatch_request.hpp"

#include <cstdint>
#include <optional>

namespace quincewing {

struct estimate_options
{
    /// Processing time that is assumed before the first answer.
    duration initial_processing_time{millis{150}};
    /// Weight of the newest answer in the moving average of the processing time.
    double processing_time_weight{0.15};
    /// Weight of the newest outcome in the moving average of the failure rate.
    double failure_weight{0.12};
    /// A server that could not be reached gets no requests during the backoff, then one as a
    /// probe. The backoff doubles with each loss.
    duration min_backoff{millis{400}};
    duration max_backoff{seconds{3}};
};

/// Speed and health of one backend server, estimated from the requests that it was given.
class server_estimate
{
public:
    explicit server_estimate(estimate_options options = {}) : options_(options) {}

    /// slots_in_use_here: slots that this dispatcher has granted at the server.
    void on_report(instant now, const attempt_report& report, std::uint32_t slots_in_use_here);
    /// Moving average of the time from sending a request to its answer.
    [[nodiscard]] duration processing_time() const;
    /// Moving average of the share of failed requests, 0 to 1.
    [[nodiscard]] double failure_rate() const { return failure_rate_; }
    /// The server gets no requests now.
    [[nodiscard]] bool backing_off(instant now) const { return now < backoff_until_; }
    /// When the backoff ends; in the past if there is none.
    [[nodiscard]] instant backoff_until() const { return backoff_until_; }
    /// Unreachable when last tried: it gets one request at a time until it answers one.
    [[nodiscard]] bool probing() const { return backoff_.count() > 0; }
    /// Slots in use by other dispatchers, according to the load that the server reported.
    [[nodiscard]] std::uint32_t slots_used_by_others(instant now) const;

private:
    estimate_options options_;
    std::optional<double> processing_time_us_;
    double failure_rate_{};
    duration backoff_{};
    instant backoff_until_{};
    std::uint32_t used_by_others_{};
    instant used_by_others_until_{};
};

} // namespace quincewing
