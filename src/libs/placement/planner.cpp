#include "quincewing/placement/planner.hpp"

#include "shard_layout.hpp"

#include "quincewing/base/hash.hpp"

#include <algorithm>

namespace quincewing {

namespace {

using plan_or_error = tl::expected<plan, std::string>;

plan_or_error fail(std::string reason)
{
    return tl::make_unexpected(std::move(reason));
}

plan plan_from_layout(const log_state& state, shard_layout& layout, double imbalance_before,
                      const planner_options& options)
{
    plan out;
    out.record.expected_version = state.config_version();
    out.record.moves = layout.moves();
    out.forecast.imbalance_before = imbalance_before;
    out.forecast.imbalance_after = layout.imbalance();
    out.forecast.shards_moved = layout.shards_moved();
    if (layout.shard_count() > 0) {
        out.forecast.churn =
            static_cast<double>(layout.shards_moved()) / static_cast<double>(layout.shard_count());
    }
    out.forecast.unavailable_time =
        options.move_downtime * static_cast<duration::rep>(layout.shards_moved());
    return out;
}

std::optional<shard_id> shard_for(const log_state& state, const service_id& service,
                                  const std::string& key)
{
    const auto found = state.services().find(service);
    if (found == state.services().end() || found->second.shards == 0) {
        return {};
    }
    return shard_id{service, static_cast<std::uint32_t>(stable_hash(key) % found->second.shards)};
}

/// Makes a plan for each kind of intent.
class plan_maker
{
public:
    plan_maker(const log_state& state, const shard_loads& loads, const planner_options& options)
        : state_(state), loads_(loads), options_(options)
    {
    }

    plan_or_error operator()(const add_intent& request) const
    {
        if (state_.servers().contains(request.server.id)) {
            return fail("server " + request.server.id.value + " already exists");
        }
        if (!state_.services().contains(request.server.service)) {
            return fail("service " + request.server.service.value + " does not exist");
        }
        shard_layout layout{state_, request.server.service, loads_, options_.lost_servers};
        const auto imbalance_before = layout.imbalance();
        layout.add_server(request.server);
        layout.rebalance(tolerated_imbalance(options_));
        auto out = plan_from_layout(state_, layout, imbalance_before, options_);
        out.record.add.push_back(request.server);
        return out;
    }

    plan_or_error operator()(const retire_intent& request) const
    {
        const auto found = state_.servers().find(request.server);
        if (found == state_.servers().end()) {
            return fail("server " + request.server.value + " does not exist");
        }
        if (found->second.retiring) {
            return fail("server " + request.server.value + " is already retiring");
        }
        shard_layout layout{state_, found->second.service, loads_, options_.lost_servers};
        const auto imbalance_before = layout.imbalance();
        layout.exclude_server(request.server);
        layout.drain(request.server, {});
        auto out = plan_from_layout(state_, layout, imbalance_before, options_);
        const bool shards_left =
            std::any_of(state_.shards().begin(), state_.shards().end(), [&](const auto& shard) {
                return shard.second.owner == request.server &&
                       layout.owner(shard.first) == request.server;
            });
        if (shards_left) {
            return fail("some shards of " + request.server.value +
                        " can't be moved now: they are still being moved, or no other server can "
                        "take them");
        }
        out.record.retire.push_back(request.server);
        return out;
    }

    plan_or_error operator()(const spread_intent& request) const
    {
        const auto shard = shard_for(state_, request.service, request.key);
        if (!shard || !state_.shards().contains(*shard)) {
            return fail("service " + request.service.value + " does not exist or has no shards");
        }
        shard_layout layout{state_, request.service, loads_, options_.lost_servers};
        const auto imbalance_before = layout.imbalance();
        layout.drain(layout.owner(*shard), shard);
        return plan_from_layout(state_, layout, imbalance_before, options_);
    }

    plan_or_error operator()(const pin_intent& request) const
    {
        const auto shard = shard_for(state_, request.service, request.key);
        if (!shard || !state_.shards().contains(*shard)) {
            return fail("service " + request.service.value + " does not exist or has no shards");
        }
        shard_layout layout{state_, request.service, loads_, options_.lost_servers};
        if (!layout.has_server(request.server)) {
            return fail("server " + request.server.value + " takes no shards of service " +
                        request.service.value);
        }
        if (layout.is_moving(*shard)) {
            return fail("shard " + to_string(*shard) + " is still being moved");
        }
        const auto imbalance_before = layout.imbalance();
        layout.move(*shard, request.server);
        return plan_from_layout(state_, layout, imbalance_before, options_);
    }

    plan_or_error operator()(const set_intent& request) const
    {
        if (request.name.empty()) {
            return fail("the name of the value to set is empty");
        }
        plan out;
        out.record.expected_version = state_.config_version();
        out.record.set[request.name] = request.value;
        return out;
    }

    plan_or_error operator()(const level_intent& request) const
    {
        if (!state_.services().contains(request.service)) {
            return fail("service " + request.service.value + " does not exist");
        }
        shard_layout layout{state_, request.service, loads_, options_.lost_servers};
        const auto imbalance_before = layout.imbalance();
        layout.rebalance(tolerated_imbalance(options_));
        return plan_from_layout(state_, layout, imbalance_before, options_);
    }

private:
    const log_state& state_;
    const shard_loads& loads_;
    const planner_options& options_;
};

} // namespace

double tolerated_imbalance(const planner_options& options)
{
    // Excess over the mean load, as a share of the mean.
    constexpr double excess_at_equal_weights = 0.05;
    constexpr double min_excess = 0.01;
    constexpr double max_excess = 0.25;
    constexpr double min_imbalance_weight = 0.001;
    const auto move_weight = (options.weight_churn + options.weight_unavailable) / 2;
    const auto imbalance_weight = std::max(options.weight_imbalance, min_imbalance_weight);
    return 1 + std::clamp(excess_at_equal_weights * move_weight / imbalance_weight, min_excess,
                          max_excess);
}

tl::expected<plan, std::string> make_plan(const log_state& state, const intent& request,
                                          const shard_loads& loads, const planner_options& options)
{
    return std::visit(plan_maker{state, loads, options}, request);
}

} // namespace quincewing
