#include "quincewing/assignment/load_map.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace quincewing {

namespace {

// Weight of the newest request in the moving average of a server's processing time.
constexpr double newest_weight = 0.08;
constexpr std::uint32_t samples_of_mean = 16;
// The same for the usual processing time, of which a single request tells less: its spread is about
// as large as the mean.
constexpr double newest_usual_weight = 0.02;
// Requests measured before a usual time is given. With fewer, chance alone makes servers of the
// same speed differ by a factor of 1.4.
constexpr std::uint32_t samples_of_usual = 32;
// A request that takes longer than this many times the usual says nothing of the server's speed.
constexpr double outlier_factor = 3.0;
// Length of a period of which the lowest slowness is kept. Short slowdowns end within it.
constexpr seconds slowness_period{2};

std::uint32_t least_told(std::uint32_t a, std::uint32_t b)
{
    return a == 0 || b == 0 ? std::max(a, b) : std::min(a, b);
}

double to_seconds(duration time)
{
    return static_cast<double>(time.count()) / 1e6;
}

} // namespace

void load_map::add(const service_id& service, key_number key, double requests, instant now)
{
    decay(now);
    for (auto* window : {&recent_, &steady_}) {
        auto& counts = window->counts[service];
        counts.resize(key_count);
        counts[key] += static_cast<float>(requests);
    }
}

void load_map::add_processing_time(const server_id& server, duration took)
{
    const auto us = static_cast<double>(took.count());
    auto& it = processing_times_[server];
    // The first few count alike, as one alone says little.
    ++it.samples;
    const auto alike = 1.0 / it.samples;
    it.us += std::max(newest_weight, 1.0 / std::min(it.samples, samples_of_mean)) * (us - it.us);
    const bool compares = it.samples > samples_of_mean;
    const auto usual = compares ? std::min(us, outlier_factor * it.usual_us) : us;
    it.usual_us += std::max(newest_usual_weight, alike) * (usual - it.usual_us);
}

void load_map::add_slowness(instant now, const server_id& server, std::uint32_t slowness)
{
    auto& it = slowness_[server];
    if (now - it.period_began >= slowness_period) {
        it = {.period_began = now, .now = 0, .before = it.now};
    }
    it.now = least_told(it.now, slowness);
}

std::optional<double> load_map::lasting_slowness(const server_id& server) const
{
    const auto found = slowness_.find(server);
    if (found == slowness_.end()) {
        return std::nullopt;
    }
    const auto least = least_told(found->second.now, found->second.before);
    return least == 0 ? std::nullopt : std::optional<double>{least};
}

void load_map::decay(instant now)
{
    constexpr millis min_interval{200};
    if (now - last_decay_ < min_interval) {
        return;
    }
    const auto elapsed = to_seconds(now - last_decay_);
    last_decay_ = now;
    for (auto* window : {&recent_, &steady_}) {
        const auto factor =
            static_cast<float>(std::exp(-elapsed / to_seconds(window->time_constant)));
        for (auto& [service, counts] : window->counts) {
            for (auto& count : counts) {
                count *= factor;
            }
        }
    }
}

double load_map::sample_count(const service_id& service, key_range keys, load_window window) const
{
    const auto& all = counted(window).counts;
    const auto found = all.find(service);
    if (found == all.end()) {
        return 0;
    }
    const auto first = found->second.begin() + keys.first;
    return std::accumulate(first, first + keys.size(), 0.0);
}

double load_map::rate(const service_id& service, key_range keys, load_window window) const
{
    return sample_count(service, keys, window) / to_seconds(counted(window).time_constant);
}

std::optional<key_number> load_map::hottest_key(const service_id& service, key_range keys) const
{
    const auto found = recent_.counts.find(service);
    if (found == recent_.counts.end()) {
        return std::nullopt;
    }
    const auto& counts = found->second;
    const auto first = counts.begin() + keys.first;
    const auto hottest = std::max_element(first, first + keys.size());
    return static_cast<key_number>(hottest - counts.begin());
}

duration load_map::processing_time(const server_id& server, duration fallback) const
{
    const auto found = processing_times_.find(server);
    return found == processing_times_.end() ? fallback : duration{std::llround(found->second.us)};
}

std::optional<usual_time> load_map::usual_processing_time(const server_id& server) const
{
    const auto found = processing_times_.find(server);
    if (found == processing_times_.end() || found->second.samples < samples_of_usual) {
        return std::nullopt;
    }
    // The times of single requests spread about as much as their mean.
    const auto averaged = std::min<double>(found->second.samples, 2 / newest_usual_weight);
    return usual_time{.time = duration{std::llround(found->second.usual_us)},
                      .relative_error = 1 / std::sqrt(averaged)};
}

duration load_map::mean_processing_time() const
{
    if (processing_times_.empty()) {
        return duration{0};
    }
    const auto sum =
        std::accumulate(processing_times_.begin(), processing_times_.end(), 0.0,
                        [](double total, const auto& entry) { return total + entry.second.us; });
    return duration{std::llround(sum / static_cast<double>(processing_times_.size()))};
}

key_number load_map::split_point(const service_id& service, key_range keys, double rate) const
{
    const auto found = recent_.counts.find(service);
    if (found == recent_.counts.end()) {
        return static_cast<key_number>(keys.first + keys.size() / 2);
    }
    const auto wanted_count = rate * to_seconds(recent_.time_constant);
    double sum = 0;
    for (std::uint32_t key = keys.first; key <= keys.last; ++key) {
        sum += found->second[key];
        if (sum >= wanted_count) {
            return static_cast<key_number>(key);
        }
    }
    return keys.last;
}

} // namespace quincewing
