#include "service_planner.hpp"

#include <algorithm>
#include <cmath>

/// service_planner: what there is, and keys without an owner.
namespace quincewing {

service_planner::service_planner(const balance_input& input, const balance_options& options,
                                 service_id service)
    : input_(input), options_(options), service_(std::move(service))
{
    collect_servers();
    set_speeds();
    collect_ranges();
}

std::vector<planned_move> service_planner::plan()
{
    if (servers_.empty()) {
        return {};
    }
    if (unassigned_) {
        assign_all();
        return std::move(moves_);
    }
    for (const auto& keys : orphans_) {
        divide(keys);
    }
    fill_idle_servers();
    place_heavy_keys();
    relieve_overloaded_servers();
    relieve_slow_servers();
    return std::move(moves_);
}

std::vector<server_utilization> service_planner::utilizations() const
{
    std::vector<server_utilization> out;
    for (const auto& [id, load] : servers_) {
        out.push_back({.server = id, .utilization = load.utilization()});
    }
    std::sort(out.begin(), out.end(),
              [](const auto& a, const auto& b) { return a.utilization > b.utilization; });
    return out;
}

void service_planner::collect_servers()
{
    const auto mean = input_.load.mean_processing_time();
    const auto fallback = mean > duration{0} ? mean : options_.assumed_processing_time;
    for (const auto& [id, server] : input_.ready) {
        if (server.service != service_) {
            continue;
        }
        const auto time = input_.load.processing_time(id, fallback);
        const auto cost =
            static_cast<double>(time.count()) / 1e6 / std::max<std::uint32_t>(server.slots, 1);
        const auto limit = input_.rate_limits.find(id);
        const bool limited = limit != input_.rate_limits.end() && limit->second.value > 0;
        servers_[id] = {.server = &server,
                        .cost = limited ? std::max(cost, 1 / limit->second.value) : cost,
                        .limited = limited};
        least_cost_ = least_cost_ > 0 ? std::min(least_cost_, cost) : cost;
    }
}

void service_planner::collect_ranges()
{
    std::uint32_t next = 0;
    for (const auto& range : input_.table.ranges) {
        if (range.service != service_) {
            continue;
        }
        unassigned_ = false;
        if (range.keys.first > next) {
            orphans_.push_back(
                {static_cast<key_number>(next), static_cast<key_number>(range.keys.first - 1)});
        }
        next = std::uint32_t{range.keys.last} + 1;
        collect_range(range);
    }
    if (!unassigned_ && next < key_count) {
        orphans_.push_back({static_cast<key_number>(next), key_count - 1});
    }
}

void service_planner::collect_range(const assigned_range& range)
{
    const auto found = servers_.find(range.owner.id);
    const bool owned = found != servers_.end() && found->second.server->start == range.owner.start;
    const bool moving = !range.previous_owner.empty();
    if (owned) {
        found->second.rate += rate_of(range.keys);
        found->second.sample_count += input_.load.sample_count(service_, range.keys);
        found->second.steady_rate += steady_rate_of(range.keys);
        found->second.steady_samples +=
            input_.load.sample_count(service_, range.keys, load_window::steady);
        if (!moving) {
            add_movable(found->second, range.keys);
        }
    } else if (!moving) {
        orphans_.push_back(range.keys);
    }
    ++range_count_;
}

void service_planner::add_movable(planned_server& to, key_range keys)
{
    const auto hottest = input_.load.hottest_key(service_, keys);
    if (!hottest || !heavy(*hottest)) {
        to.ranges.push_back(keys);
        return;
    }
    to.has_heavy_key = true;
    heavy_keys_[*hottest] = to.server->id;
    if (keys.first < *hottest) {
        add_movable(to, {keys.first, static_cast<key_number>(*hottest - 1)});
    }
    if (*hottest < keys.last) {
        add_movable(to, {static_cast<key_number>(*hottest + 1), keys.last});
    }
}

double service_planner::rate_of(key_range keys) const
{
    return input_.load.rate(service_, keys) + options_.assumed_rate * keys.size() / key_count;
}

bool service_planner::moved_within(key_range keys, duration time) const
{
    return std::any_of(input_.recent_moves.begin(), input_.recent_moves.end(), [&](const auto& it) {
        return it.service == service_ && it.age < time && it.keys.first <= keys.last &&
               keys.first <= it.keys.last;
    });
}

bool service_planner::heavy(key_number key) const
{
    return input_.load.rate(service_, {key, key}) * least_cost_ >= options_.heavy_key_utilization;
}

// Divides all keys among the servers in proportion to their slots.
void service_planner::assign_all()
{
    double slots = 0;
    for (const auto& [id, load] : servers_) {
        slots += load.server->slots;
    }
    double assigned = 0;
    std::uint32_t first = 0;
    for (const auto& [id, load] : servers_) {
        assigned += load.server->slots;
        const auto end = static_cast<std::uint32_t>(std::llround(assigned / slots * key_count));
        if (end > first) {
            moves_.push_back(
                {service_, {static_cast<key_number>(first), static_cast<key_number>(end - 1)}, id});
        }
        first = end;
    }
}

planned_server& service_planner::least_utilized()
{
    return std::min_element(servers_.begin(), servers_.end(),
                            [](const auto& a, const auto& b) {
                                return a.second.utilization() < b.second.utilization();
                            })
        ->second;
}

// An idle server that limits its rate may be the least utilized now and overloaded by the keys.
planned_server& service_planner::least_utilized_with(double rate)
{
    const auto after = [rate](const auto& it) { return (it.second.rate + rate) * it.second.cost; };
    return std::min_element(servers_.begin(), servers_.end(),
                            [&](const auto& a, const auto& b) { return after(a) < after(b); })
        ->second;
}

bool service_planner::takes(const planned_server& to, double rate) const
{
    return !to.limited || (to.rate + rate) * to.cost <= options_.overload_threshold;
}

planned_server& service_planner::most_utilized()
{
    return std::max_element(servers_.begin(), servers_.end(),
                            [](const auto& a, const auto& b) {
                                return a.second.utilization() < b.second.utilization();
                            })
        ->second;
}

void service_planner::assign(key_range keys, planned_server& to)
{
    moves_.push_back({service_, keys, to.server->id});
    to.rate += rate_of(keys);
    to.sample_count += input_.load.sample_count(service_, keys);
}

// A single new owner would carry the load of two servers, so several share the range, unless that
// would make more ranges than there may be.
void service_planner::divide(key_range keys)
{
    const auto room = range_count_ < max_ranges() ? max_ranges() - range_count_ + 1 : 1;
    const auto parts =
        std::min<std::size_t>({options_.max_parts, servers_.size(), keys.size(), room});
    auto rest = keys;
    for (std::size_t n = parts; n > 1; --n) {
        const auto last = split_point(rest, rate_of(rest) / static_cast<double>(n));
        if (last >= rest.last) {
            break;
        }
        assign({rest.first, last}, least_utilized_with(rate_of({rest.first, last})));
        ++range_count_;
        rest.first = static_cast<key_number>(last + 1);
    }
    assign(rest, least_utilized_with(rate_of(rest)));
}

key_number service_planner::split_point(key_range keys, double rate) const
{
    const auto measured = input_.load.rate(service_, keys);
    if (measured < options_.assumed_rate * keys.size() / key_count) {
        const auto share = std::min(1.0, rate / std::max(rate_of(keys), 1e-9));
        return static_cast<key_number>(keys.first + std::max(0.0, share * keys.size() - 1));
    }
    return input_.load.split_point(service_, keys, rate * measured / rate_of(keys));
}

void service_planner::fill_idle_servers()
{
    for (auto& entry : servers_) {
        auto& load = entry.second;
        const bool has_keys =
            load.rate > 0 || std::any_of(moves_.begin(), moves_.end(),
                                         [&](const auto& move) { return move.to == entry.first; });
        if (has_keys || moves_.size() >= max_moves()) {
            continue;
        }
        auto& from = most_utilized();
        move_best_part(from, load, from.rate / 2);
    }
}

std::size_t service_planner::max_moves() const
{
    const auto by_servers = options_.max_moves_per_server * static_cast<double>(servers_.size());
    return std::max(options_.min_max_moves, static_cast<std::size_t>(by_servers));
}

std::size_t service_planner::max_ranges() const
{
    const auto wanted =
        std::max(options_.max_ranges, options_.max_ranges_per_server * servers_.size());
    return std::min(wanted, options_.max_ranges_of_table);
}

} // namespace quincewing
