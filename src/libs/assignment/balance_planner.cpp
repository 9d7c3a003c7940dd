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
    /// Share of its slots that one request a second keeps busy.
    double cost{};
    double rate{};
    double samples{};
    std::vector<key_range> ranges;

    [[nodiscard]] double busy() const { return rate * cost; }
};

/// The plan of one service.
class service_plan
{
public:
    service_plan(const balance_input& input, const balance_options& options, service_id service)
        : input_(input), options_(options), service_(std::move(service))
    {
        collect_servers();
        collect_ranges();
    }

    std::vector<planned_move> make()
    {
        if (servers_.empty()) {
            return {};
        }
        if (first_time_) {
            spread_all();
            return std::move(moves_);
        }
        for (const auto& it : orphans_) {
            divide(it);
        }
        fill_empty_servers();
        relieve_busy_servers();
        return std::move(moves_);
    }

    [[nodiscard]] std::vector<server_utilization> busy() const
    {
        std::vector<server_utilization> out;
        for (const auto& [id, it] : servers_) {
            out.push_back({.server = id, .utilization = it.busy()});
        }
        std::sort(out.begin(), out.end(),
                  [](const auto& a, const auto& b) { return a.utilization > b.utilization; });
        return out;
    }

private:
    void collect_servers()
    {
        const auto known = input_.load.mean_work();
        const auto fallback = known > duration{0} ? known : options_.assumed_work;
        for (const auto& [id, server] : input_.ready) {
            if (server.service != service_) {
                continue;
            }
            const auto work = input_.load.work_of(id, fallback);
            servers_[id] = {.server = &server,
                            .cost = static_cast<double>(work.count()) / 1e6 /
                                    std::max<std::uint32_t>(server.slots, 1)};
        }
    }

    void collect_ranges()
    {
        std::uint32_t next = 0;
        for (const auto& it : input_.table.ranges) {
            if (it.service != service_) {
                continue;
            }
            first_time_ = false;
            if (it.keys.first > next) {
                orphans_.push_back(
                    {static_cast<key_number>(next), static_cast<key_number>(it.keys.first - 1)});
            }
            next = std::uint32_t{it.keys.last} + 1;
            take_range(it);
        }
        if (!first_time_ && next < key_count) {
            orphans_.push_back({static_cast<key_number>(next), key_count - 1});
        }
    }

    void take_range(const assigned_range& it)
    {
        const auto found = servers_.find(it.owner.id);
        const bool owned = found != servers_.end() && found->second.server->start == it.owner.start;
        const bool moving = !it.previous_owner.empty();
        if (owned) {
            found->second.rate += rate_of(it.keys);
            found->second.samples += input_.load.samples(service_, it.keys);
            if (!moving) {
                found->second.ranges.push_back(it.keys);
            }
        } else if (!moving) {
            orphans_.push_back(it.keys);
        }
        ++range_count_;
    }

    [[nodiscard]] double rate_of(key_range keys) const
    {
        return input_.load.rate(service_, keys) + options_.assumed_rate * keys.size() / key_count;
    }

    void spread_all()
    {
        double slots = 0;
        for (const auto& [id, it] : servers_) {
            slots += it.server->slots;
        }
        double done = 0;
        std::uint32_t first = 0;
        for (const auto& [id, it] : servers_) {
            done += it.server->slots;
            const auto end = static_cast<std::uint32_t>(std::llround(done / slots * key_count));
            if (end > first) {
                moves_.push_back(
                    {service_,
                     {static_cast<key_number>(first), static_cast<key_number>(end - 1)},
                     id});
            }
            first = end;
        }
    }

    server_load& least_busy()
    {
        return std::min_element(
                   servers_.begin(), servers_.end(),
                   [](const auto& a, const auto& b) { return a.second.busy() < b.second.busy(); })
            ->second;
    }
    server_load& most_busy()
    {
        return std::max_element(
                   servers_.begin(), servers_.end(),
                   [](const auto& a, const auto& b) { return a.second.busy() < b.second.busy(); })
            ->second;
    }

    void give(key_range keys, server_load& to)
    {
        moves_.push_back({service_, keys, to.server->id});
        to.rate += rate_of(keys);
        to.samples += input_.load.samples(service_, keys);
    }

    // One taker of a whole range would be as busy as two servers, so several share it.
    void divide(key_range keys)
    {
        const auto pieces = std::min<std::size_t>({options_.pieces, servers_.size(), keys.size()});
        auto left = keys;
        for (std::size_t n = pieces; n > 1; --n) {
            const auto cut = split_at(left, rate_of(left) / static_cast<double>(n));
            if (cut >= left.last) {
                break;
            }
            give({left.first, cut}, least_busy());
            left.first = static_cast<key_number>(cut + 1);
        }
        give(left, least_busy());
    }

    /// Last key of a piece from the front that has about this rate.
    [[nodiscard]] key_number split_at(key_range keys, double rate) const
    {
        const auto seen = input_.load.rate(service_, keys);
        if (seen < options_.assumed_rate * keys.size() / key_count) {
            const auto share = std::min(1.0, rate / std::max(rate_of(keys), 1e-9));
            return static_cast<key_number>(keys.first + std::max(0.0, share * keys.size() - 1));
        }
        return input_.load.piece_end(service_, keys, rate * seen / rate_of(keys));
    }

    void fill_empty_servers()
    {
        for (auto& entry : servers_) {
            auto& it = entry.second;
            const bool holds_keys =
                it.rate > 0 || std::any_of(moves_.begin(), moves_.end(), [&](const auto& move) {
                    return move.to == entry.first;
                });
            if (holds_keys || moves_.size() >= options_.most_moves) {
                continue;
            }
            auto& from = most_busy();
            move_best(from, it, from.rate / 2);
        }
    }

    // The busiest first. One that has nothing to give away, because a single key is most of its
    // load, does not keep the others from being relieved.
    void relieve_busy_servers()
    {
        std::set<server_id> stuck;
        while (moves_.size() < options_.most_moves) {
            auto* from = busiest_except(stuck);
            if (from == nullptr || !too_busy(*from)) {
                return;
            }
            auto& to = least_busy();
            const auto gap = from->busy() - to.busy();
            if (gap < options_.gap || !move_best(*from, to, gap / (from->cost + to.cost))) {
                stuck.insert(from->server->id);
            }
        }
    }

    [[nodiscard]] std::size_t most_ranges() const
    {
        return std::max(options_.ranges_most, options_.ranges_per_server * servers_.size());
    }

    server_load* busiest_except(const std::set<server_id>& left_out)
    {
        server_load* best = nullptr;
        for (auto& [id, it] : servers_) {
            if (!left_out.contains(id) && (best == nullptr || it.busy() > best->busy())) {
                best = &it;
            }
        }
        return best;
    }

    [[nodiscard]] bool too_busy(const server_load& it) const
    {
        const auto error = it.busy() / std::sqrt(std::max(it.samples, 1.0));
        return it.busy() - options_.certainty * error > options_.busy;
    }

    /// Parts of a range that could go: all of it, and what lies before and after the key at which
    /// about this rate is reached. At the bound of ranges none is cut any more.
    [[nodiscard]] std::vector<key_range> pieces_of(key_range whole, double rate) const
    {
        std::vector<key_range> out{whole};
        if (range_count_ >= most_ranges()) {
            return out;
        }
        const auto cut = split_at(whole, rate);
        if (cut < whole.last) {
            out.push_back({whole.first, cut});
            out.push_back({static_cast<key_number>(cut + 1), whole.last});
        }
        if (cut > whole.first) {
            out.push_back({whole.first, static_cast<key_number>(cut - 1)});
            out.push_back({cut, whole.last});
        }
        return out;
    }

    /// Moves the piece after which the busier of the two servers is least busy; false when none
    /// helps enough to be worth the pause of its keys.
    bool move_best(server_load& from, server_load& to, double rate)
    {
        auto best = from.busy() - options_.least_gain;
        auto best_range = from.ranges.end();
        key_range best_piece;
        for (auto range = from.ranges.begin(); range != from.ranges.end(); ++range) {
            for (const auto& piece : pieces_of(*range, rate)) {
                const auto moved = rate_of(piece);
                const auto after =
                    std::max((from.rate - moved) * from.cost, (to.rate + moved) * to.cost);
                if (after < best) {
                    best = after;
                    best_range = range;
                    best_piece = piece;
                }
            }
        }
        if (best_range == from.ranges.end()) {
            return false;
        }
        take_piece(from, best_range, best_piece);
        give(best_piece, to);
        return true;
    }

    void take_piece(server_load& from, std::vector<key_range>::iterator range, key_range piece)
    {
        const auto whole = *range;
        from.ranges.erase(range);
        if (whole.first < piece.first) {
            from.ranges.push_back({whole.first, static_cast<key_number>(piece.first - 1)});
            ++range_count_;
        }
        if (piece.last < whole.last) {
            from.ranges.push_back({static_cast<key_number>(piece.last + 1), whole.last});
            ++range_count_;
        }
        from.rate -= rate_of(piece);
        from.samples = std::max(0.0, from.samples - input_.load.samples(service_, piece));
    }

    const balance_input& input_;
    const balance_options& options_;
    service_id service_;
    std::map<server_id, server_load> servers_;
    std::vector<key_range> orphans_;
    std::vector<planned_move> moves_;
    std::size_t range_count_{};
    bool first_time_{true};
};

} // namespace

std::vector<server_utilization> estimate_utilizations(const balance_input& input,
                                                      const balance_options& options,
                                                      const service_id& service)
{
    return service_plan{input, options, service}.busy();
}

std::vector<planned_move> plan_moves(const balance_input& input, const balance_options& options)
{
    std::vector<planned_move> out;
    for (const auto& service : input.services) {
        auto moves = service_plan{input, options, service}.make();
        out.insert(out.end(), moves.begin(), moves.end());
    }
    return out;
}

} // namespace quincewing
