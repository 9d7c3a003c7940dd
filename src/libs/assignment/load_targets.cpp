#include "quincewing/assignment/load_targets.hpp"

#include <algorithm>
#include <cmath>

namespace quincewing {

namespace {

double microseconds_of(duration it)
{
    return static_cast<double>(std::max<duration::rep>(it.count(), 1));
}

/// Inverse of expected_response.
double utilization_at(double response_us, const server_speed& server,
                      const load_target_options& options)
{
    const auto delay = response_us / microseconds_of(server.processing_time) - 1;
    if (delay <= 0) {
        return 0;
    }
    const auto weight = options.queueing_weight;
    const auto out = (std::sqrt(delay * delay + 4 * weight * delay) - delay) / (2 * weight);
    return std::min(out, options.max_utilization);
}

double total_at(double response_us, const std::vector<server_speed>& servers,
                const load_target_options& options)
{
    double sum = 0;
    for (const auto& it : servers) {
        sum += utilization_at(response_us, it, options) / it.cost;
    }
    return sum;
}

} // namespace

duration expected_response(const server_speed& server, double utilization,
                           const load_target_options& options)
{
    // Keeps the response time finite as the utilization approaches 1.
    constexpr double almost_full = 0.98;
    const auto used = std::clamp(utilization, 0.0, almost_full);
    const auto delay = options.queueing_weight * used * used / (1 - used);
    return duration{std::llround(microseconds_of(server.processing_time) * (1 + delay))};
}

// The total grows with the response time that is allowed, so bisection finds it.
std::vector<request_rate> plan_load_targets(const std::vector<server_speed>& servers,
                                            request_rate total, const load_target_options& options)
{
    // Halvings of the interval: 2^-40 of it is far below a microsecond.
    constexpr int steps = 40;
    double low = 0;
    double high = 0;
    for (const auto& it : servers) {
        const auto full = expected_response(it, options.max_utilization, options);
        high = std::max(high, microseconds_of(full));
    }
    for (int i = 0; i < steps; ++i) {
        const auto middle = (low + high) / 2;
        (total_at(middle, servers, options) < total.value ? low : high) = middle;
    }
    std::vector<request_rate> out;
    out.reserve(servers.size());
    for (const auto& it : servers) {
        out.emplace_back(utilization_at(high, it, options) / it.cost);
    }
    return out;
}

} // namespace quincewing
