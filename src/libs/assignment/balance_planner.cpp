#include "quincewing/assignment/balance_planner.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace quincewing {

namespace {

struct server_load
{
    const backend_server* server{};
    /// Share of its slots in use, or of its own limit, per request per second.
    double cost{};
    /// Requests per second.
    double rate{};
    double sample_count{};
    /// It limits its rate.
    bool limited{};
    /// Ranges that may be moved away.
    std::vector<key_range> ranges;

    [[nodiscard]] double utilization() const { return rate * cost; }
};

/// Plans the moves of one service.
class service_planner
{
public:
    service_planner(const balance_input& input, const balance_options& options, service_id service)
        : input_(input), options_(options), service_(std::move(service))
    {
        collect_servers();
        collect_ranges();
    }

    std::vector<planned_move> plan()
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
        relieve_overloaded_servers();
        return std::move(moves_);
    }

    [[nodiscard]] std::vector<server_utilization> utilizations() const
    {
        std::vector<server_utilization> out;
        for (const auto& [id, load] : servers_) {
            out.push_back({.server = id, .utilization = load.utilization()});
        }
        std::sort(out.begin(), out.end(),
                  [](const auto& a, const auto& b) { return a.utilization > b.utilization; });
        return out;
    }

private:
    void collect_servers()
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
        }
    }

    void collect_ranges()
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

    void collect_range(const assigned_range& range)
    {
        const auto found = servers_.find(range.owner.id);
        const bool owned =
            found != servers_.end() && found->second.server->start == range.owner.start;
        const bool moving = !range.previous_owner.empty();
        if (owned) {
            found->second.rate += rate_of(range.keys);
            found->second.sample_count += input_.load.sample_count(service_, range.keys);
            if (!moving) {
                found->second.ranges.push_back(range.keys);
            }
        } else if (!moving) {
            orphans_.push_back(range.keys);
        }
        ++range_count_;
    }

    [[nodiscard]] double rate_of(key_range keys) const
    {
        return input_.load.rate(service_, keys) + options_.assumed_rate * keys.size() / key_count;
    }

    // Divides all keys among the servers in proportion to their slots.
    void assign_all()
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
                    {service_,
                     {static_cast<key_number>(first), static_cast<key_number>(end - 1)},
                     id});
            }
            first = end;
        }
    }

    server_load& least_utilized()
    {
        return std::min_element(servers_.begin(), servers_.end(),
                                [](const auto& a, const auto& b) {
                                    return a.second.utilization() < b.second.utilization();
                                })
            ->second;
    }
    server_load& most_utilized()
    {
        return std::max_element(servers_.begin(), servers_.end(),
                                [](const auto& a, const auto& b) {
                                    return a.second.utilization() < b.second.utilization();
                                })
            ->second;
    }

    void assign(key_range keys, server_load& to)
    {
        moves_.push_back({service_, keys, to.server->id});
        to.rate += rate_of(keys);
        to.sample_count += input_.load.sample_count(service_, keys);
    }

    // A single new owner would carry the load of two servers, so several share the range.
    void divide(key_range keys)
    {
        const auto parts =
            std::min<std::size_t>({options_.max_parts, servers_.size(), keys.size()});
        auto rest = keys;
        for (std::size_t n = parts; n > 1; --n) {
            const auto last = split_point(rest, rate_of(rest) / static_cast<double>(n));
            if (last >= rest.last) {
                break;
            }
            assign({rest.first, last}, least_utilized());
            rest.first = static_cast<key_number>(last + 1);
        }
        assign(rest, least_utilized());
    }

    /// Last key of the part at the front of the range that has about this rate.
    [[nodiscard]] key_number split_point(key_range keys, double rate) const
    {
        const auto measured = input_.load.rate(service_, keys);
        if (measured < options_.assumed_rate * keys.size() / key_count) {
            const auto share = std::min(1.0, rate / std::max(rate_of(keys), 1e-9));
            return static_cast<key_number>(keys.first + std::max(0.0, share * keys.size() - 1));
        }
        return input_.load.split_point(service_, keys, rate * measured / rate_of(keys));
    }

    void fill_idle_servers()
    {
        for (auto& entry : servers_) {
            auto& load = entry.second;
            const bool has_keys =
                load.rate > 0 || std::any_of(moves_.begin(), moves_.end(), [&](const auto& move) {
                    return move.to == entry.first;
                });
            if (has_keys || moves_.size() >= max_moves()) {
                continue;
            }
            auto& from = most_utilized();
            move_best_part(from, load, from.rate / 2);
        }
    }

    // In descending order of utilization. A server from which no move helps, for example because
    // one key makes up most of its load, is skipped so that the others are still relieved.
    void relieve_overloaded_servers()
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

    bool relieve(server_load& from, server_load& to)
    {
        const auto gap = from.utilization() - to.utilization();
        if (gap < options_.min_utilization_gap) {
            return false;
        }
        if (from.limited) {
            return move_best_part(from, to,
                                  (from.utilization() - options_.limited_target) / from.cost);
        }
        const auto equal = gap / (from.cost + to.cost);
        const auto room = (options_.overload_threshold - to.utilization()) / to.cost;
        if (room > 0 && equal > 2 * room) {
            return move_front_part(from, to, room);
        }
        return move_best_part(from, to, equal);
    }

    [[nodiscard]] std::size_t max_moves() const
    {
        const auto by_servers =
            options_.max_moves_per_server * static_cast<double>(servers_.size());
        return std::max(options_.min_max_moves, static_cast<std::size_t>(by_servers));
    }

    [[nodiscard]] std::size_t max_ranges() const
    {
        const auto wanted =
            std::max(options_.max_ranges, options_.max_ranges_per_server * servers_.size());
        return std::min(wanted, options_.max_ranges_of_table);
    }

    server_load* most_utilized_except(const std::set<server_id>& skipped)
    {
        server_load* best = nullptr;
        for (auto& [id, load] : servers_) {
            if (!skipped.contains(id) &&
                (best == nullptr || load.utilization() > best->utilization())) {
                best = &load;
            }
        }
        return best;
    }

    [[nodiscard]] bool overloaded(const server_load& load) const
    {
        const auto standard_error =
            load.utilization() / std::sqrt(std::max(load.sample_count, 1.0));
        return load.utilization() - options_.min_standard_errors * standard_error >
               options_.overload_threshold;
    }

    /// Parts of a range that could move: the whole range, and the keys up to, before, from and
    /// after the key at which about this rate is reached. At the limit of ranges only the whole
    /// range.
    [[nodiscard]] std::vector<key_range> movable_parts(key_range whole, double rate) const
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

    /// Whether a move of this rate, after which the higher of the two utilizations is as given,
    /// gains enough.
    [[nodiscard]] bool pays(const server_load& from, double moved, double after) const
    {
        const auto least =
            std::max(options_.min_utilization_gain, options_.min_gain_of_moved * moved * from.cost);
        return after <= from.utilization() - least;
    }

    /// Moves the part that minimizes the higher of the two servers' utilizations. Returns false if
    /// no part lowers it by min_utilization_gain, as the keys of a move are not served for a
    /// moment.
    bool move_best_part(server_load& from, server_load& to, double rate)
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
                if (after < best && pays(from, moved, after)) {
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
    bool move_front_part(server_load& from, server_load& to, double rate)
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
        if (!pays(from, moved, after)) {
            return move_best_part(from, to, rate);
        }
        take_part(from, range, part);
        assign(part, to);
        return true;
    }

    /// The first keys of a range that have about this rate, at least one key; without the keys
    /// before the first busy one if these are many.
    [[nodiscard]] key_range front_part(key_range whole, double rate) const
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

    void take_part(server_load& from, std::vector<key_range>::iterator range, key_range part)
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
        from.sample_count =
            std::max(0.0, from.sample_count - input_.load.sample_count(service_, part));
    }

    const balance_input& input_;
    const balance_options& options_;
    service_id service_;
    std::map<server_id, server_load> servers_;
    /// Keys without an owner among the servers.
    std::vector<key_range> orphans_;
    std::vector<planned_move> moves_;
    std::size_t range_count_{};
    /// No key of the service was ever assigned.
    bool unassigned_{true};
};

} // namespace

std::vector<server_utilization> estimate_utilizations(const balance_input& input,
                                                      const balance_options& options,
                                                      const service_id& service)
{
    return service_planner{input, options, service}.utilizations();
}

std::vector<planned_move> plan_moves(const balance_input& input, const balance_options& options)
{
    std::vector<planned_move> out;
    for (const auto& service : input.services) {
        auto moves = service_planner{input, options, service}.plan();
        out.insert(out.end(), moves.begin(), moves.end());
    }
    return out;
}

} // namespace quincewing
