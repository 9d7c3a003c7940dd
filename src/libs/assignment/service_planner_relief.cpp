#include "service_planner.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

/// service_planner: servers with too much.
namespace quincewing {

// ---- keys that no server can carry

// Such a key gets the server that answers most of its requests, once: passed on, it is served by
// nobody meanwhile. A server is slower while it is full, so a new place looks faster than the
// present one for as long as it is idle.
void service_planner::place_heavy_keys()
{
    for (const auto& [key, owner] : heavy_keys_) {
        const key_range keys{key, key};
        auto& from = servers_.at(owner);
        planned_server* fastest = nullptr;
        for (auto& [id, it] : servers_) {
            const bool taken = it.has_heavy_key || it.limited;
            if (!taken && (fastest == nullptr ||
                           std::tie(it.cost, it.rate) < std::tie(fastest->cost, fastest->rate))) {
                fastest = &it;
            }
        }
        const bool pays = fastest != nullptr &&
                          fastest->cost < from.cost * options_.heavy_key_cost_share &&
                          range_count_ < options_.max_ranges_of_table;
        if (!pays || moved_within(keys, options_.heavy_key_rest)) {
            continue;
        }
        from.rate -= rate_of(keys);
        from.has_heavy_key = false;
        fastest->has_heavy_key = true;
        range_count_ += 2;
        assign(keys, *fastest);
    }
}

// ---- overload

// In descending order of utilization. A server from which no move helps, for example because
// one key makes up most of its load, is skipped so that the others are still relieved.
void service_planner::relieve_overloaded_servers()
{
    std::set<server_id> skipped;
    while (moves_.size() < max_moves()) {
        auto* from = most_utilized_except(skipped);
        if (from == nullptr || !overloaded(*from)) {
            return;
        }
        auto& to = least_utilized();
        if (!relieve(*from, to)) {
            skipped.insert(from->server->id);
        }
    }
}

bool service_planner::relieve(planned_server& from, planned_server& to)
{
    const auto gap = from.utilization() - to.utilization();
    if (gap < options_.min_utilization_gap) {
        return false;
    }
    if (from.limited) {
        return move_best_part(from, to, (from.utilization() - options_.limited_target) / from.cost);
    }
    const auto equal = gap / (from.cost + to.cost);
    const auto room = (options_.overload_threshold - to.utilization()) / to.cost;
    if (room > 0 && equal > 2 * room) {
        return move_front_part(from, to, room);
    }
    return move_best_part(from, to, equal);
}

planned_server* service_planner::most_utilized_except(const std::set<server_id>& skipped)
{
    planned_server* best = nullptr;
    for (auto& [id, load] : servers_) {
        if (!skipped.contains(id) &&
            (best == nullptr || load.utilization() > best->utilization())) {
            best = &load;
        }
    }
    return best;
}

bool service_planner::overloaded(const planned_server& load) const
{
    const auto standard_error = load.utilization() / std::sqrt(std::max(load.sample_count, 1.0));
    return load.utilization() - options_.min_standard_errors * standard_error >
           options_.overload_threshold;
}

std::vector<key_range> service_planner::movable_parts(key_range whole, double rate) const
{
    std::vector<key_range> out{whole};
    if (range_count_ >= max_ranges()) {
        return out;
    }
    const auto split = split_point(whole, rate);
    if (split < whole.last) {
        out.push_back({whole.first, split});
        out.push_back({static_cast<key_number>(split + 1), whole.last});
    }
    if (split > whole.first) {
        out.push_back({whole.first, static_cast<key_number>(split - 1)});
        out.push_back({split, whole.last});
    }
    return out;
}

bool service_planner::pays(const planned_server& from, double moved, double after) const
{
    const auto least =
        std::max(options_.min_utilization_gain, options_.min_gain_of_moved * moved * from.cost);
    return after <= from.utilization() - least;
}

bool service_planner::move_best_part(planned_server& from, planned_server& to, double rate)
{
    auto best = from.utilization();
    auto best_range = from.ranges.end();
    key_range best_part;
    for (auto range = from.ranges.begin(); range != from.ranges.end(); ++range) {
        for (const auto& part : movable_parts(*range, rate)) {
            const auto moved = rate_of(part);
            if (from.limited &&
                (from.rate - moved) * from.cost < options_.min_limited_utilization) {
                continue;
            }
            const auto after =
                std::max((from.rate - moved) * from.cost, (to.rate + moved) * to.cost);
            if (after < best && takes(to, moved) && pays(from, moved, after)) {
                best = after;
                best_range = range;
                best_part = part;
            }
        }
    }
    if (best_range == from.ranges.end()) {
        return false;
    }
    take_part(from, best_range, best_part);
    assign(best_part, to);
    return true;
}

// Relieves a server that has the load of many: half of it would overload the next server as
// well, and keys that have just moved can't move again at once.
bool service_planner::move_front_part(planned_server& from, planned_server& to, double rate)
{
    const auto range =
        std::max_element(from.ranges.begin(), from.ranges.end(),
                         [&](const auto& a, const auto& b) { return rate_of(a) < rate_of(b); });
    if (range == from.ranges.end() || range_count_ >= max_ranges()) {
        return move_best_part(from, to, rate);
    }
    const auto part = front_part(*range, rate);
    const auto moved = rate_of(part);
    const auto after = std::max((from.rate - moved) * from.cost, (to.rate + moved) * to.cost);
    if (!takes(to, moved) || !pays(from, moved, after)) {
        return move_best_part(from, to, rate);
    }
    take_part(from, range, part);
    assign(part, to);
    return true;
}

key_range service_planner::front_part(key_range whole, double rate) const
{
    constexpr double negligible_part = 0.05;
    const auto busy = split_point(whole, rate * negligible_part);
    const auto cold = static_cast<double>(busy - whole.first);
    if (cold > options_.min_cold_share * whole.size()) {
        whole.first = busy;
    }
    const auto split = split_point(whole, rate);
    const bool fits = split == whole.first || rate_of({whole.first, split}) <= rate * 1.1;
    return {whole.first, fits ? split : static_cast<key_number>(split - 1)};
}

void service_planner::take_part(planned_server& from, ranges_iterator range, key_range part)
{
    const auto whole = *range;
    from.ranges.erase(range);
    if (whole.first < part.first) {
        from.ranges.push_back({whole.first, static_cast<key_number>(part.first - 1)});
        ++range_count_;
    }
    if (part.last < whole.last) {
        from.ranges.push_back({static_cast<key_number>(part.last + 1), whole.last});
        ++range_count_;
    }
    from.rate -= rate_of(part);
    from.sample_count = std::max(0.0, from.sample_count - input_.load.sample_count(service_, part));
}

} // namespace quincewing
