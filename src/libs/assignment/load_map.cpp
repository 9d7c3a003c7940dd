#include "quincewing/assignment/load_map.hpp"

#include <cmath>
#include <numeric>

namespace quincewing {

namespace {

// Weight of the newest request in the mean work of a server.
constexpr double newest_share = 0.15;

double seconds_of(duration it)
{
    return static_cast<double>(it.count()) / 1e6;
}

} // namespace

void load_map::add(const service_id& service, key_number key, double requests, instant now)
{
    age(now);
    auto& counts = counts_[service];
    counts.resize(key_count);
    counts[key] += static_cast<float>(requests);
}

void load_map::add_processing_time(const server_id& server, duration took)
{
    const auto us = static_cast<double>(took.count());
    const auto [found, fresh] = work_us_.emplace(server, us);
    if (!fresh) {
        found->second += newest_share * (us - found->second);
    }
}

void load_map::age(instant now)
{
    constexpr millis step{200};
    if (now - aged_ < step) {
        return;
    }
    const auto keep = static_cast<float>(std::exp(-seconds_of(now - aged_) / seconds_of(memory_)));
    aged_ = now;
    for (auto& [service, counts] : counts_) {
        for (auto& it : counts) {
            it *= keep;
        }
    }
}

double load_map::samples(const service_id& service, key_range keys) const
{
    const auto found = counts_.find(service);
    if (found == counts_.end()) {
        return 0;
    }
    const auto first = found->second.begin() + keys.first;
    return std::accumulate(first, first + keys.size(), 0.0);
}

double load_map::rate(const service_id& service, key_range keys) const
{
    return samples(service, keys) / seconds_of(memory_);
}

duration load_map::work_of(const server_id& server, duration fallback) const
{
    const auto found = work_us_.find(server);
    return found == work_us_.end() ? fallback : duration{std::llround(found->second)};
}

duration load_map::mean_work() const
{
    if (work_us_.empty()) {
        return duration{0};
    }
    const auto sum = std::accumulate(work_us_.begin(), work_us_.end(), 0.0,
                                     [](double a, const auto& it) { return a + it.second; });
    return duration{std::llround(sum / static_cast<double>(work_us_.size()))};
}

key_number load_map::piece_end(const service_id& service, key_range keys, double rate) const
{
    const auto found = counts_.find(service);
    if (found == counts_.end()) {
        return static_cast<key_number>(keys.first + keys.size() / 2);
    }
    const auto wanted = rate * seconds_of(memory_);
    double sum = 0;
    for (std::uint32_t key = keys.first; key <= keys.last; ++key) {
        sum += found->second[key];
        if (sum >= wanted) {
            return static_cast<key_number>(key);
        }
    }
    return keys.last;
}

} // namespace quincewing
