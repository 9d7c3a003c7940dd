#include "quincewing/dispatch/key_shares.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace quincewing {

namespace {

constexpr millis min_interval{100};
// A key with fewer counts is forgotten.
constexpr double least_count = 0.05;

double seconds_of(duration it)
{
    return std::chrono::duration<double>(it).count();
}

/// The level for which the sum of the lesser of demand and level is the capacity. Empty if the
/// demands fit.
std::optional<double> fill_level(std::vector<double> demands, double capacity)
{
    std::sort(demands.begin(), demands.end());
    auto left = capacity;
    for (std::size_t i = 0; i < demands.size(); ++i) {
        const auto level = left / static_cast<double>(demands.size() - i);
        if (demands[i] > level) {
            return level;
        }
        left -= demands[i];
    }
    return std::nullopt;
}

} // namespace

void key_shares::decay(instant now)
{
    if (now - decayed_at_ < min_interval) {
        return;
    }
    const auto factor = std::exp(-seconds_of(now - decayed_at_) / seconds_of(time_constant_));
    decayed_at_ = now;
    for (auto& [key, it] : keys_) {
        it.submitted *= factor;
        it.granted *= factor;
    }
    std::erase_if(keys_, [](const auto& it) { return it.second.submitted < least_count; });
}

void key_shares::on_submitted(instant now, std::uint16_t key)
{
    decay(now);
    keys_[key].submitted += 1;
}

void key_shares::on_granted(instant now, std::uint16_t key)
{
    decay(now);
    keys_[key].granted += 1;
}

void key_shares::update(instant now, request_rate capacity)
{
    if (now - updated_at_ < min_interval) {
        return;
    }
    updated_at_ = now;
    decay(now);
    std::vector<double> demands;
    demands.reserve(keys_.size());
    for (const auto& [key, it] : keys_) {
        demands.push_back(it.submitted);
    }
    level_ = fill_level(std::move(demands), capacity.value * seconds_of(time_constant_));
}

bool key_shares::above_share(std::uint16_t key) const
{
    const auto found = keys_.find(key);
    return level_ && found != keys_.end() && keys_.size() > 1 &&
           found->second.submitted > *level_ && found->second.granted >= *level_;
}

request_rate key_shares::rate_of_others(std::uint16_t key) const
{
    double count = 0;
    for (const auto& [other, it] : keys_) {
        if (other != key) {
            count += level_ ? std::min(it.submitted, *level_) : it.submitted;
        }
    }
    return request_rate{count / seconds_of(time_constant_)};
}

} // namespace quincewing
