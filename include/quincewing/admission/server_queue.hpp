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
    /// Declared concurrency of the server, in requests.
    double slots{2};
    std::size_t max_queued{2000};
    /// Service time assumed until the first request has completed.
    duration initial_service_time{millis{5}};
    /// A mean service time above the baseline by more than this factor lowers the limit.
    double max_slowdown{3.0};
    /// Initial concurrency limit of a restarted server, as a fraction of its slots.
    double cold_start_fraction{0.5};
    /// Refuse requests that would miss their deadline; if false, only max_queued bounds the queue.
    bool refuse_by_deadline{true};
};

struct queued_request
{
    request_id id;
    request_class klass{request_class::read};
    instant deadline{};
    /// Crash suspect: must be the only request in flight at the server.
    bool exclusive{};
    /// Time that must remain before the deadline when it is sent; set by the queue.
    duration min_time_left{};
};

/// Returned by offer() for a refused request.
struct queue_refusal
{
    /// Time after which a retry is expected to be accepted.
    duration retry_after{};
};

enum class completion : std::uint8_t
{
    ok,
    /// The server refused the request without running it.
    shed,
    failed
};

/// The queue in front of a backend server: weighted classes, deadlines, adaptive concurrency limit.
class server_queue
{
public:
    explicit server_queue(queue_options options = {});

    /// Queues the request, or refuses it if the queue is full or the deadline would be missed.
    tl::expected<void, queue_refusal> offer(instant now, const queued_request& it);
    /// Dequeues the next request to send, if the limit allows one; call it until it returns none.
    /// Requests that are not ready are skipped and stay queued.
    std::optional<request_id> next(instant now, const std::function<bool(request_id)>& ready = {});
    /// Removes and returns the queued requests that can no longer meet their deadline.
    std::vector<request_id> remove_late(instant now);
    /// Ends a request that was sent; requests not in flight are ignored.
    void finished(instant now, request_id id, completion how);
    /// Removes the request if it is still queued.
    void cancel(request_id id);
    /// Lowers the limit to its initial value; for a server that was restarted.
    void reset_limit();

    [[nodiscard]] std::size_t queued() const;
    [[nodiscard]] std::size_t in_flight() const { return running_.size(); }
    [[nodiscard]] double limit() const { return limit_; }
    /// Predicted time from now to the start of a new request of this class.
    [[nodiscard]] duration predicted_wait(request_class klass) const;
    /// Predicted time until the queue is empty.
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
        /// Weighted round robin: the class with the most credit is served next.
        double credit{};
        /// Exponential moving average of the service time, in microseconds.
        double service_time{};
        /// Long-run mean of the service time, in microseconds.
        double baseline{};
        /// Service times recorded, up to the warm-up of the baseline.
        int samples{};
    };

    [[nodiscard]] class_state* pick_class(const std::function<bool(request_id)>& ready);
    [[nodiscard]] double work_queued() const;
    [[nodiscard]] static duration required_time(const class_state& klass, duration left);
    void record_service_time(class_state& klass, double us);
    void adapt_limit(double slowdown);

    queue_options options_;
    std::array<class_state, request_class_count> classes_;
    std::map<request_id, running_request> running_;
    double limit_{};
};

} // namespace quincewing
