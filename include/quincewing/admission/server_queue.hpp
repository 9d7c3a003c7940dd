#pragma once

#include "quincewing/admission/request_class.hpp"
#include "quincewing/base/ids.hpp"
#include "quincewing/base/time.hpp"

#include <array>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <tl/expected.hpp>
#include <vector>

namespace quincewing {

struct queue_options
{
    /// Requests that the server runs at once, as declared.
    double slots{2};
    std::size_t max_queued{2000};
    /// Service time assumed before the first measurement.
    duration initial_service_time{millis{5}};
    /// Latency over its long-run value by this factor lowers the limit.
    double max_slowdown{3.0};
    /// Share of the declared slots with which a cold server starts.
    double cold_start_fraction{0.5};
    /// Refuse by predicted start; without it only max_queued bounds the queue.
    bool refuse_by_deadline{true};
};

struct queued_request
{
    request_id id;
    request_class klass{request_class::read};
    instant deadline{};
    /// A suspect of a crash: runs with nothing beside it.
    bool exclusive{};
    /// Time before the deadline at which it must start; set by the queue.
    duration min_time_left{};
};

/// Refused at once; a caller may come back after this time.
struct queue_refusal
{
    duration retry_after{};
};

enum class completion : std::uint8_t
{
    ok,
    /// The server refused the request as not run.
    shed,
    failed
};

/// The one queue in front of a backend server: a concurrency limit, classes, deadlines.
class server_queue
{
public:
    explicit server_queue(queue_options options = {});

    /// Queues the request, or refuses it when it could not start in time.
    tl::expected<void, queue_refusal> offer(instant now, const queued_request& it);
    /// The next request to send, if the limit allows one. Call until empty. Requests that are
    /// not ready are passed over without losing their place.
    std::optional<request_id> next(instant now, const std::function<bool(request_id)>& ready = {});
    /// Requests that can no longer be answered in time; they leave the queue.
    std::vector<request_id> remove_late(instant now);
    /// The request left the server (or the queue, when it was never sent).
    void finished(instant now, request_id id, completion how);
    void cancel(request_id id);
    /// The server starts over: few requests at first.
    void reset_limit();

    [[nodiscard]] std::size_t queued() const;
    [[nodiscard]] std::size_t in_flight() const { return running_.size(); }
    [[nodiscard]] double limit() const { return limit_; }
    /// Predicted time from now to the start of a new request of this class.
    [[nodiscard]] duration predicted_wait(request_class klass) const;
    /// Time until the queue is empty.
    [[nodiscard]] duration drain_time() const;

private:
    struct running_request
    {
        instant since{};
        request_class klass{request_class::read};
        bool exclusive{};
    };
    struct class_state
    {
        std::deque<queued_request> queue;
        double credit{};
        /// Smoothed service time in microseconds.
        double service{};
        /// Long-run service time, in microseconds, and how many answers it has seen.
        double baseline{};
        int learned{};
    };

    [[nodiscard]] class_state* pick_class(const std::function<bool(request_id)>& ready);
    [[nodiscard]] double work_queued() const;
    [[nodiscard]] static duration time_needed(const class_state& klass, duration left);
    void learn(class_state& klass, double took);
    void adapt_limit(double ratio);

    queue_options options_;
    std::array<class_state, request_class_count> classes_;
    std::map<request_id, running_request> running_;
    double limit_{};
};

} // namespace quincewing
