#pragma once

#include "quincewing/assignment/balance_planner.hpp"
#include "quincewing/assignment/load_targets.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace quincewing {

/// A server, and what the planner knows and has planned of its load.
struct planned_server
{
    const backend_server* server{};
    /// Share of its slots in use, or of its own limit, per request per second.
    double cost{};
    /// Requests per second.
    double rate{};
    double sample_count{};
    /// It limits its rate.
    bool limited{};
    /// It holds a key that asks for more than any server gives.
    bool has_heavy_key{};
    /// Usual processing time and cost; empty while they are not known.
    std::optional<server_speed> speed;
    /// Standard error of the time, as a share of it.
    double speed_error{};
    /// Requests per second over a longer time, and from how many that is known.
    double steady_rate{};
    double steady_samples{};
    /// Rate at which it answers as fast as the others.
    double target_rate{};
    /// Ranges that may be moved away.
    std::vector<key_range> ranges;

    [[nodiscard]] double utilization() const { return rate * cost; }
    /// Nothing but its speed decides how many keys it gets.
    [[nodiscard]] bool comparable() const { return speed && !limited && !has_heavy_key; }
    /// Expected time from sending a request to its answer at this rate.
    [[nodiscard]] duration response_at(double requests_per_second) const
    {
        return expected_response(*speed, requests_per_second * speed->cost);
    }
};

/// Plans the moves of one service.
class service_planner
{
public:
    service_planner(const balance_input& input, const balance_options& options, service_id service);

    std::vector<planned_move> plan();
    [[nodiscard]] std::vector<server_utilization> utilizations() const;

private:
    using ranges_iterator = std::vector<key_range>::iterator;

    // What there is.
    void collect_servers();
    void set_speeds();
    void collect_ranges();
    void collect_range(const assigned_range& range);
    /// Ranges that may move, without the heavy keys in them.
    void add_movable(planned_server& to, key_range keys);
    [[nodiscard]] double rate_of(key_range keys) const;
    [[nodiscard]] bool moved_within(key_range keys, duration time) const;
    /// The key asks for more than the fastest server gives.
    [[nodiscard]] bool heavy(key_number key) const;

    // Keys without an owner.
    void assign_all();
    void divide(key_range keys);
    void fill_idle_servers();

    // Servers with too much.
    void place_heavy_keys();
    void relieve_overloaded_servers();
    bool relieve(planned_server& from, planned_server& to);
    /// Moves the part that minimizes the higher of the two servers' utilizations. False: no part
    /// lowers it enough, as the keys of a move are not served for a moment.
    bool move_best_part(planned_server& from, planned_server& to, double rate);
    bool move_front_part(planned_server& from, planned_server& to, double rate);

    // Servers that are slower than others.
    void relieve_slow_servers();
    void set_target_rates();
    [[nodiscard]] std::vector<planned_server*> servers_above_target();
    planned_server* most_room();
    bool move_to_faster(planned_server& from, planned_server& to);
    [[nodiscard]] bool slower_than(const planned_server& from, const planned_server& to) const;
    /// The keys that go from a server to a faster one; empty if no move pays.
    [[nodiscard]] std::optional<key_range> part_for_faster(const planned_server& from,
                                                           const planned_server& to,
                                                           ranges_iterator range) const;
    [[nodiscard]] double steady_rate_of(key_range keys) const;

    // Parts of ranges.
    /// Parts of a range that could move: the whole range, and the keys up to, before, from and
    /// after the key at which about this rate is reached. At the limit of ranges only the whole
    /// range.
    [[nodiscard]] std::vector<key_range> movable_parts(key_range whole, double rate) const;
    /// Last key of the part at the front of the range that has about this rate.
    [[nodiscard]] key_number split_point(key_range keys, double rate) const;
    /// The first keys of a range that have about this rate, at least one key; without the keys
    /// before the first busy one if these are many.
    [[nodiscard]] key_range front_part(key_range whole, double rate) const;
    void take_part(planned_server& from, ranges_iterator range, key_range part);
    void assign(key_range keys, planned_server& to);
    /// Whether a move of this rate, after which the higher of the two utilizations is as given,
    /// gains enough.
    [[nodiscard]] bool pays(const planned_server& from, double moved, double after) const;

    planned_server& least_utilized();
    /// The server that is least utilized after it got keys with this rate.
    planned_server& least_utilized_with(double rate);
    /// False: the server limits its rate, and keys with this rate would leave it no room.
    [[nodiscard]] bool takes(const planned_server& to, double rate) const;
    planned_server& most_utilized();
    planned_server* most_utilized_except(const std::set<server_id>& skipped);
    [[nodiscard]] bool overloaded(const planned_server& load) const;
    [[nodiscard]] std::size_t max_moves() const;
    [[nodiscard]] std::size_t max_ranges() const;

    const balance_input& input_;
    const balance_options& options_;
    service_id service_;
    std::map<server_id, planned_server> servers_;
    /// Keys without an owner among the servers.
    std::vector<key_range> orphans_;
    /// Heavy keys that a server of the list owns and that are not being moved.
    std::map<key_number, server_id> heavy_keys_;
    std::vector<planned_move> moves_;
    std::size_t range_count_{};
    double least_cost_{};
    /// No key of the service was ever assigned.
    bool unassigned_{true};
};

} // namespace quincewing
