#include "service_planner.hpp"

#include <algorithm>
#include <cmath>

/// service_planner: servers that are slower than others.
///
/// Slow servers make requests late that fast ones answer in time, even where none is overloaded.
/// Each server is brought near the rate at which all answer equally fast, by few moves at a time
/// and only as far as rates and speeds are certain.
namespace quincewing {

// Where servers report a slowness, their processing time is computed as slowness times the mean
// over all of time per slowness: a mean over all servers is less uncertain than one server's time.
// The error of such a time is taken as 0.
void service_planner::set_speeds()
{
    double sum = 0;
    std::size_t n = 0;
    for (const auto& [id, it] : servers_) {
        const auto usual = input_.load.usual_processing_time(id);
        const auto slowness = input_.load.lasting_slowness(id);
        if (usual && slowness) {
            sum += static_cast<double>(usual->time.count()) / *slowness;
            ++n;
        }
    }
    for (auto& [id, it] : servers_) {
        auto usual = input_.load.usual_processing_time(id);
        const auto slowness = input_.load.lasting_slowness(id);
        if (slowness && n > 0) {
            usual = usual_time{
                .time = duration{std::llround(sum / static_cast<double>(n) * *slowness)}};
        }
        if (usual) {
            const auto slots = std::max<std::uint32_t>(it.server->slots, 1);
            it.speed = server_speed{.processing_time = usual->time,
                                    .cost = static_cast<double>(usual->time.count()) / 1e6 / slots};
            it.speed_error = usual->relative_error;
        }
    }
}

void service_planner::relieve_slow_servers()
{
    set_target_rates();
    const auto most = options_.max_speed_moves_per_server * static_cast<double>(servers_.size());
    auto left = std::max<std::size_t>(1, static_cast<std::size_t>(most));
    for (auto* from : servers_above_target()) {
        auto* to = most_room();
        if (to == nullptr || left == 0 || moves_.size() >= max_moves()) {
            return;
        }
        left -= move_to_faster(*from, *to) ? 1 : 0;
    }
}

double service_planner::steady_rate_of(key_range keys) const
{
    return input_.load.rate(service_, keys, load_window::steady) +
           options_.assumed_rate * keys.size() / key_count;
}

void service_planner::set_target_rates()
{
    std::vector<server_speed> speeds;
    double total = 0;
    for (const auto& [id, it] : servers_) {
        if (it.comparable()) {
            speeds.push_back(*it.speed);
            total += std::max(it.rate, it.steady_rate);
        }
    }
    const auto targets = plan_load_targets(speeds, request_rate{total});
    std::size_t i = 0;
    for (auto& [id, it] : servers_) {
        if (it.comparable()) {
            it.target_rate = targets[i++].value;
        }
    }
}

// In descending order of the time that their requests take.
std::vector<planned_server*> service_planner::servers_above_target()
{
    std::vector<planned_server*> out;
    for (auto& [id, it] : servers_) {
        if (it.comparable() && it.steady_rate > it.target_rate) {
            out.push_back(&it);
        }
    }
    std::sort(out.begin(), out.end(), [](const auto* a, const auto* b) {
        return a->response_at(a->steady_rate) > b->response_at(b->steady_rate);
    });
    return out;
}

planned_server* service_planner::most_room()
{
    planned_server* best = nullptr;
    double most = 0;
    for (auto& [id, it] : servers_) {
        const auto room = it.target_rate - std::max(it.rate, it.steady_rate);
        if (it.comparable() && room > most) {
            best = &it;
            most = room;
        }
    }
    return best;
}

bool service_planner::move_to_faster(planned_server& from, planned_server& to)
{
    const auto standard_error = from.steady_rate / std::sqrt(std::max(from.steady_samples, 1.0));
    const bool certain =
        from.steady_rate - options_.min_standard_errors * standard_error > from.target_rate;
    const auto range =
        std::max_element(from.ranges.begin(), from.ranges.end(), [&](const auto& a, const auto& b) {
            return steady_rate_of(a) < steady_rate_of(b);
        });
    if (!certain || range == from.ranges.end()) {
        return false;
    }
    const auto part = part_for_faster(from, to, range);
    if (!part) {
        return false;
    }
    const auto moved = steady_rate_of(*part);
    take_part(from, range, *part);
    from.steady_rate -= moved;
    to.steady_rate += moved;
    assign(*part, to);
    return true;
}

bool service_planner::slower_than(const planned_server& from, const planned_server& to) const
{
    const auto error = std::hypot(from.speed_error, to.speed_error);
    const auto least = options_.slower_factor * std::exp(options_.min_standard_errors * error);
    return from.speed->processing_time >= to.speed->processing_time * least;
}

std::optional<key_range> service_planner::part_for_faster(const planned_server& from,
                                                          const planned_server& to,
                                                          ranges_iterator range) const
{
    const auto least = std::max(from.target_rate, from.steady_rate * options_.min_kept_share);
    const auto wanted =
        std::min(from.steady_rate - least, to.target_rate - std::max(to.rate, to.steady_rate));
    const bool slower = slower_than(from, to);
    const bool enough = wanted >= from.steady_rate * options_.min_moved_share;
    if (!slower || !enough || moved_within(*range, options_.range_rest)) {
        return std::nullopt;
    }
    const auto rate = steady_rate_of(*range);
    // A whole range may exceed the wanted rate by a tenth, which saves a split.
    const bool whole = rate <= wanted * 1.1;
    if (!whole && range_count_ >= max_ranges()) {
        return std::nullopt;
    }
    const auto part = whole ? *range : front_part(*range, rate_of(*range) * wanted / rate);
    const auto before = from.response_at(from.steady_rate);
    const auto after = to.response_at(to.steady_rate + steady_rate_of(part));
    const auto least_gain = before * options_.min_response_gain_share;
    return before - after >= least_gain ? std::optional{part} : std::nullopt;
}

} // namespace quincewing
