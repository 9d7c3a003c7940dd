#pragma once

#include "quincewing/dispatch/dispatch_request.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace quincewing {

struct estimate_options
{
    /// Processing time that is assumed before the first answer.
    duration initial_processing_time{millis{150}};
    /// Weight of the newest answer in the moving average of the processing time.
    double processing_time_weight{0.15};
    /// An answer that took longer than this many times the average counts as this long.
    double outlier_factor{3.0};
    /// Weight of the newest outcome in the moving average of the failure rate.
    double failure_weight{0.12};
    /// A server that could not be reached gets no requests during the backoff, then one as a
    /// probe. The backoff doubles with each loss.
    duration min_backoff{millis{400}};
    duration max_backoff{seconds{3}};
    /// A loss counts for this time.
    duration loss_memory{seconds{2}};
    /// A server that answered somebody this shortly ago, or during the attempt, is not lost, but
    /// out of reach of the host that says so.
    duration least_silence{millis{200}};
    /// A server's slowness fades to usual over this time: that is for how long a disturbance lasts.
    duration slowness_memory{millis{400}};
    /// Share of the initial processing time that answers are assumed to vary by before the first.
    double initial_deviation_share{0.3};
};

/// Whose report it is, and what the dispatcher knows beside it.
struct report_context
{
    host_id from;
    /// Slots that this dispatcher has granted at the server.
    std::uint32_t slots_in_use{};
    /// Hosts that must have lost the server, with no answer to anybody in between, before it counts
    /// as lost: one host may be cut off from a server that is well.
    std::size_t losing_hosts{1};
};

/// Speed and health of one backend server, estimated from the requests that it was given.
class server_estimate
{
public:
    explicit server_estimate(estimate_options options = {}) : options_(options) {}

    void on_report(instant now, const report_context& context, const attempt_report& report);
    /// Expected time from sending a request to its answer, at the server's present speed.
    [[nodiscard]] duration processing_time(instant now) const;
    /// The same over the recent past, without what disturbs the server at this moment.
    [[nodiscard]] duration mean_processing_time() const;
    /// How long work takes now, as a multiple of what it takes in the mean.
    [[nodiscard]] double relative_slowness(instant now) const;
    /// Mean deviation of answers from the expected time.
    [[nodiscard]] duration deviation() const;
    /// Moving average of the share of failed requests, 0 to 1.
    [[nodiscard]] double failure_rate() const { return failure_rate_; }
    /// When it answered last; the clock's beginning if it never did.
    [[nodiscard]] instant last_answer_at() const { return last_answer_at_; }
    /// The server gets no requests now.
    [[nodiscard]] bool backing_off(instant now) const { return now < backoff_until_; }
    /// When the backoff ends; in the past if there is none.
    [[nodiscard]] instant backoff_until() const { return backoff_until_; }
    /// Unreachable when last tried: it gets one request at a time until it answers one.
    [[nodiscard]] bool probing() const { return backoff_.count() > 0; }
    /// Slots in use by other dispatchers, according to the load that the server reported.
    [[nodiscard]] std::uint32_t slots_used_by_others(instant now) const;

private:
    void on_lost(instant now, const report_context& context, const attempt_report& report);
    void note_processing_time(const attempt_report& report);
    void note_slowness(instant now, const attempt_report& report);

    estimate_options options_;
    /// Moving average of the time from sending a request to its answer.
    std::optional<double> processing_time_us_;
    double deviation_us_{};
    /// How long work takes, in percent, as reported last, and when; and its moving average.
    double slowness_{};
    instant slowness_at_{};
    double mean_slowness_{};
    double failure_rate_{};
    duration backoff_{};
    instant backoff_until_{};
    /// Hosts that lost the server since its last answer, and when.
    std::map<host_id, instant> lost_by_;
    instant last_answer_at_{};
    std::uint32_t used_by_others_{};
    instant used_by_others_until_{};
};

} // namespace quincewing
