#include "quincewing/admission/server_queue.hpp"

#include <algorithm>
#include <cmath>

namespace quincewing {

namespace {

constexpr std::array<double, request_class_count> class_weights{8.0, 4.0, 1.0};
constexpr double service_time_smoothing = 0.1;
// Mean service times that must remain before the deadline when a request is sent.
constexpr double required_service_times = 4.0;
// The baseline is the mean of the first samples and then a slow moving average, so that lasting
// changes of the workload eventually count as normal.
constexpr int baseline_warm_up_samples = 20;
constexpr double baseline_smoothing = 0.005;
constexpr double limit_increment = 0.1;
constexpr double slowdown_limit_factor = 0.9;
constexpr double shed_limit_factor = 0.7;

std::size_t index_of(request_class klass)
{
    return static_cast<std::size_t>(klass);
}

duration microseconds_of(double n)
{
    return duration{static_cast<duration::rep>(n)};
}

} // namespace

server_queue::server_queue(queue_options options) : options_(options)
{
    for (auto& klass : classes_) {
        klass.service_time = static_cast<double>(options_.initial_service_time.count());
    }
    reset_limit();
}

void server_queue::reset_limit()
{
    limit_ = std::max(1.0, options_.slots * options_.cold_start_fraction);
}

std::size_t server_queue::queued() const
{
    std::size_t n = 0;
    for (const auto& klass : classes_) {
        n += klass.queue.size();
    }
    return n;
}

double server_queue::work_queued() const
{
    double work = 0;
    for (const auto& klass : classes_) {
        work += static_cast<double>(klass.queue.size()) * klass.service_time;
    }
    return work;
}

// Counts the requests of the same class and those of other classes that their weights let overtake.
duration server_queue::predicted_wait(request_class klass) const
{
    const auto own = index_of(klass);
    const auto ahead = static_cast<double>(classes_[own].queue.size());
    double work = ahead * classes_[own].service_time;
    for (std::size_t i = 0; i < request_class_count; ++i) {
        if (i == own) {
            continue;
        }
        const auto overtaking = (ahead + 1) * class_weights[i] / class_weights[own];
        const auto n = std::min(static_cast<double>(classes_[i].queue.size()), overtaking);
        work += n * classes_[i].service_time;
    }
    if (static_cast<double>(running_.size()) >= std::floor(limit_)) {
        work += classes_[own].service_time / 2;
    }
    return microseconds_of(work / std::max(1.0, std::floor(limit_)));
}

duration server_queue::drain_time() const
{
    return microseconds_of(work_queued() / std::max(1.0, std::floor(limit_)));
}

// Several mean service times, so that few sent requests miss their deadline; for a request with a
// short deadline, half of its remaining time, but at least one mean service time.
duration server_queue::required_time(const class_state& klass, duration left)
{
    const auto mean = microseconds_of(klass.service_time);
    return std::min<duration>(microseconds_of(klass.service_time * required_service_times),
                              std::max<duration>(mean, left / 2));
}

tl::expected<void, queue_refusal> server_queue::offer(instant now, const queued_request& it)
{
    auto& klass = classes_[index_of(it.klass)];
    auto queued_it = it;
    queued_it.min_time_left =
        options_.refuse_by_deadline ? required_time(klass, it.deadline - now) : duration{0};
    const auto end = now + predicted_wait(it.klass) + queued_it.min_time_left;
    const bool late = options_.refuse_by_deadline && end > it.deadline;
    if (late || queued() >= options_.max_queued) {
        return tl::make_unexpected(queue_refusal{.retry_after = drain_time()});
    }
    klass.queue.push_back(queued_it);
    return {};
}

// Returns the class with the most credit among those with a ready request, which is moved to the
// front of its queue.
server_queue::class_state* server_queue::pick_class(const std::function<bool(request_id)>& ready)
{
    class_state* best = nullptr;
    for (auto& klass : classes_) {
        auto& queue = klass.queue;
        const auto first = std::find_if(queue.begin(), queue.end(),
                                        [&](const auto& it) { return !ready || ready(it.id); });
        if (first == queue.end()) {
            continue;
        }
        std::rotate(queue.begin(), first, first + 1);
        if (best == nullptr || klass.credit > best->credit) {
            best = &klass;
        }
    }
    return best;
}

std::optional<request_id> server_queue::next(instant now,
                                             const std::function<bool(request_id)>& ready)
{
    if (static_cast<double>(running_.size()) + 1 > std::floor(limit_)) {
        return {};
    }
    const bool exclusive_running = std::any_of(running_.begin(), running_.end(),
                                               [](const auto& r) { return r.second.exclusive; });
    if (exclusive_running) {
        return {};
    }
    auto* klass = pick_class(ready);
    if (klass == nullptr || (klass->queue.front().exclusive && !running_.empty())) {
        return {};
    }
    // Smooth weighted round robin: each class with queued requests gains its weight, and the class
    // that is served pays the sum.
    for (std::size_t i = 0; i < request_class_count; ++i) {
        if (classes_[i].queue.empty()) {
            classes_[i].credit = 0;
            continue;
        }
        classes_[i].credit += class_weights[i];
        klass->credit -= class_weights[i];
    }
    const auto it = klass->queue.front();
    klass->queue.pop_front();
    running_[it.id] = {.since = now, .klass = it.klass, .exclusive = it.exclusive};
    return it.id;
}

std::vector<request_id> server_queue::remove_late(instant now)
{
    std::vector<request_id> out;
    for (auto& klass : classes_) {
        std::erase_if(klass.queue, [&](const queued_request& it) {
            const bool late = now + it.min_time_left > it.deadline;
            if (late) {
                out.push_back(it.id);
            }
            return late;
        });
    }
    return out;
}

void server_queue::record_service_time(class_state& klass, double us)
{
    const auto n = static_cast<double>(klass.samples);
    klass.samples = std::min(klass.samples + 1, baseline_warm_up_samples);
    klass.service_time += std::max(service_time_smoothing, 1 / (n + 1)) * (us - klass.service_time);
    const auto step = klass.samples < baseline_warm_up_samples ? 1 / (n + 1) : baseline_smoothing;
    klass.baseline += step * (us - klass.baseline);
    adapt_limit(klass.service_time / std::max(klass.baseline, 1.0));
}

// Single service times vary with the request. The ratio of their moving average to the baseline
// shows a server that is slowing down, also under a mixed workload.
void server_queue::adapt_limit(double slowdown)
{
    if (slowdown > options_.max_slowdown) {
        limit_ = std::max(1.0, limit_ * slowdown_limit_factor);
        return;
    }
    limit_ = std::min(options_.slots, limit_ + limit_increment);
}

void server_queue::finished(instant now, request_id id, completion how)
{
    const auto found = running_.find(id);
    if (found == running_.end()) {
        return;
    }
    const auto took = static_cast<double>((now - found->second.since).count());
    auto& klass = classes_[index_of(found->second.klass)];
    running_.erase(found);
    if (how == completion::ok) {
        record_service_time(klass, took);
    } else if (how == completion::shed) {
        limit_ = std::max(1.0, limit_ * shed_limit_factor);
    }
}

void server_queue::cancel(request_id id)
{
    for (auto& klass : classes_) {
        std::erase_if(klass.queue, [id](const auto& it) { return it.id == id; });
    }
}

const char* to_string(request_class it)
{
    switch (it) {
    case request_class::write:
        return "write";
    case request_class::read:
        return "read";
    case request_class::bulk:
        return "bulk";
    }
    return "read";
}

} // namespace quincewing
