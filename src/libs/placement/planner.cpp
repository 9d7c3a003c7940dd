#include "quincewing/placement/planner.hpp"

#include "shard_layout.hpp"

#include "quincewing/base/hash.hpp"

#include <algorithm>

namespace quincewing {

namespace {

using made = tl::expected<plan, std::string>;

made fail(std::string what)
{
    return tl::make_unexpected(std::move(what));
}

plan finish(const log_state& state, shard_layout& layout, double before,
            const planner_options& options)
{
    plan out;
    out.record.expected_version = state.config_version();
    out.record.moves = layout.moves();
    out.forecast.imbalance_before = before;
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

class maker
{
public:
    maker(const log_state& state, const shard_loads& loads, const planner_options& options)
        : state_(state), loads_(loads), options_(options)
    {
    }

    made operator()(const add_intent& it) const
    {
        if (state_.servers().contains(it.server.id)) {
            return fail("server " + it.server.id.value + " exists");
        }
        if (!state_.services().contains(it.server.service)) {
            return fail("no service " + it.server.service.value);
        }
        shard_layout layout{state_, it.server.service, loads_, options_.lost_servers};
        const auto before = layout.imbalance();
        layout.add_server(it.server);
        layout.level(tolerated_imbalance(options_));
        auto out = finish(state_, layout, before, options_);
        out.record.add.push_back(it.server);
        return out;
    }

    made operator()(const retire_intent& it) const
    {
        const auto found = state_.servers().find(it.server);
        if (found == state_.servers().end()) {
            return fail("no server " + it.server.value);
        }
        if (found->second.retiring) {
            return fail("server " + it.server.value + " is already retiring");
        }
        shard_layout layout{state_, found->second.service, loads_, options_.lost_servers};
        const auto before = layout.imbalance();
        layout.close_server(it.server);
        layout.drain(it.server, {});
        auto out = finish(state_, layout, before, options_);
        const bool left =
            std::any_of(state_.shards().begin(), state_.shards().end(), [&](const auto& shard) {
                return shard.second.owner == it.server && layout.owner(shard.first) == it.server;
            });
        if (left) {
            return fail("some shards of " + it.server.value +
                        " cannot leave now: still moving, or no other server");
        }
        out.record.retire.push_back(it.server);
        return out;
    }

    made operator()(const spread_intent& it) const
    {
        const auto shard = shard_for(state_, it.service, it.key);
        if (!shard || !state_.shards().contains(*shard)) {
            return fail("no shards in " + it.service.value);
        }
        shard_layout layout{state_, it.service, loads_, options_.lost_servers};
        const auto before = layout.imbalance();
        layout.drain(layout.owner(*shard), shard);
        return finish(state_, layout, before, options_);
    }

    made operator()(const pin_intent& it) const
    {
        const auto shard = shard_for(state_, it.service, it.key);
        if (!shard || !state_.shards().contains(*shard)) {
            return fail("no shards in " + it.service.value);
        }
        shard_layout layout{state_, it.service, loads_, options_.lost_servers};
        if (!layout.has_server(it.server)) {
            return fail("server " + it.server.value + " takes no shards of " + it.service.value);
        }
        if (layout.moving(*shard)) {
            return fail("shard " + to_string(*shard) + " is still moving");
        }
        const auto before = layout.imbalance();
        layout.move(*shard, it.server);
        return finish(state_, layout, before, options_);
    }

    made operator()(const set_intent& it) const
    {
        if (it.name.empty()) {
            return fail("a name is needed");
        }
        plan out;
        out.record.expected_version = state_.config_version();
        out.record.set[it.name] = it.value;
        return out;
    }

    made operator()(const level_intent& it) const
    {
        if (!state_.services().contains(it.service)) {
            return fail("no service " + it.service.value);
        }
        shard_layout layout{state_, it.service, loads_, options_.lost_servers};
        const auto before = layout.imbalance();
        layout.level(tolerated_imbalance(options_));
        return finish(state_, layout, before, options_);
    }

private:
    const log_state& state_;
    const shard_loads& loads_;
    const planner_options& options_;
};

} // namespace

double tolerated_imbalance(const planner_options& options)
{
    constexpr double at_equal_weights = 0.05;
    constexpr double least = 0.01;
    constexpr double most = 0.25;
    const auto cost = (options.weight_churn + options.weight_unavailable) / 2;
    const auto gain = std::max(options.weight_imbalance, 0.001);
    return 1 + std::clamp(at_equal_weights * cost / gain, least, most);
}

tl::expected<plan, std::string> make_plan(const log_state& state, const intent& what,
                                          const shard_loads& loads, const planner_options& options)
{
    return std::visit(maker{state, loads, options}, what);
}

} // namespace quincewing
