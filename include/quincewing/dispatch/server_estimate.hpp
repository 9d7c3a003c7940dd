#pragma once

#include "quincewing/dispatch/dispatch_request.hpp"

#include <cstdint>
#include <optional>

namespace quincewing {

struct estimate_options
{
    /// Time of work while none was seen.
    duration first_guess{millis{150}};
    /// Weight of the newest answer in the mean.
    double newest_share{0.15};
    /// Weight of the newest outcome in the share of failures.
    double newest_failure_share{0.12};
    /// A server that could not be reached gets no work for this long, then one request as a probe.
    duration rest_least{millis{400}};
    duration rest_most{seconds{3}};
};

/// What is known of one backend server from the requests that it was given.
class server_estimate
{
public:
    explicit server_estimate(estimate_options options = {}) : options_(options) {}

    void on_report(instant now, const attempt_report& report, std::uint32_t in_use_here);
    /// Mean time of work.
    [[nodiscard]] duration work() const;
    /// Share of failures lately, 0 to 1.
    [[nodiscard]] double failures() const { return failures_; }
    /// Gets no work now.
    [[nodiscard]] bool resting(instant now) const { return now < rest_until_; }
    /// Unreachable when last tried: one request at a time until one is answered.
    [[nodiscard]] bool probing() const { return rest_.count() > 0; }
    /// Places that others use, as the server's own figures show.
    [[nodiscard]] std::uint32_t used_by_others(instant now) const;

private:
    estimate_options options_;
    std::optional<double> work_us_;
    double failures_{};
    duration rest_{};
    instant rest_until_{};
    std::uint32_t others_{};
    instant others_until_{};
};

} // namespace quincewing
