#include "shard_layout.hpp"

#include "quincewing/base/hash.hpp"

#include <algorithm>

namespace quincewing {

shard_layout::shard_layout(const log_state& state, service_id service, const shard_loads& loads,
                           const std::set<server_id>& lost)
    : state_(state), service_(std::move(service)), load_by_shard_(loads)
{
    for (const auto& [id, server] : state.servers()) {
        if (server.service == service_) {
            servers_[id] = server;
            if (!server.retiring && !lost.contains(id)) {
                load_by_server_[id] = 0;
            }
        }
    }
    for (const auto& [shard, entry] : state.shards()) {
        if (shard.service != service_) {
            continue;
        }
        owners_[shard] = entry.owner;
        shards_by_server_[entry.owner].insert(shard);
        if (const auto found = load_by_server_.find(entry.owner); found != load_by_server_.end()) {
            found->second += load_of(shard);
        }
    }
}

double shard_layout::load_of(const shard_id& shard) const
{
    const auto found = load_by_shard_.find(shard);
    return found == load_by_shard_.end() ? 1.0 : found->second;
}

bool shard_layout::is_moving(const shard_id& shard) const
{
    const auto found = state_.shards().find(shard);
    return found != state_.shards().end() && found->second.previous_owner.has_value();
}

void shard_layout::add_server(const server_entry& server)
{
    servers_[server.id] = server;
    load_by_server_.try_emplace(server.id, 0.0);
}

void shard_layout::exclude_server(const server_id& server)
{
    load_by_server_.erase(server);
}

double shard_layout::mean_load() const
{
    double sum = 0;
    for (const auto& [id, load] : load_by_server_) {
        sum += load;
    }
    return load_by_server_.empty() ? 0 : sum / static_cast<double>(load_by_server_.size());
}

double shard_layout::imbalance() const
{
    double highest = 0;
    for (const auto& [id, load] : load_by_server_) {
        highest = std::max(highest, load);
    }
    const auto average = mean_load();
    return average > 0 ? highest / average : 1.0;
}

void shard_layout::move(const shard_id& shard, const server_id& to)
{
    auto& owner = owners_[shard];
    if (const auto from = load_by_server_.find(owner); from != load_by_server_.end()) {
        from->second -= load_of(shard);
    }
    shards_by_server_[owner].erase(shard);
    owner = to;
    shards_by_server_[to].insert(shard);
    load_by_server_[to] += load_of(shard);
}

std::optional<server_id> shard_layout::least_loaded(const data_centre_id& preferred,
                                                    const server_id& excluded) const
{
    std::optional<server_id> best;
    std::tuple<bool, double, std::uint64_t> best_rank;
    for (const auto& [id, load] : load_by_server_) {
        if (id == excluded) {
            continue;
        }
        const std::tuple rank{servers_.at(id).data_centre != preferred, load,
                              stable_hash(id.value)};
        if (!best || rank < best_rank) {
            best = id;
            best_rank = rank;
        }
    }
    return best;
}

// Each step moves the largest shard that narrows the gap between the most and the least loaded
// server, so that few shards move.
void shard_layout::rebalance(double tolerance)
{
    const auto by_load = [](const auto& a, const auto& b) { return a.second < b.second; };
    for (std::size_t step = 0; step < owners_.size(); ++step) {
        if (load_by_server_.size() < 2) {
            return;
        }
        const auto most = std::max_element(load_by_server_.begin(), load_by_server_.end(), by_load);
        const auto least =
            std::min_element(load_by_server_.begin(), load_by_server_.end(), by_load);
        const bool target_has_no_shards = shards_by_server_[least->first].empty();
        if (most->second <= tolerance * mean_load() && !target_has_no_shards) {
            return;
        }
        const auto gap = most->second - least->second;
        std::optional<shard_id> best;
        double best_load = 0;
        for (const auto& shard : shards_by_server_[most->first]) {
            const auto load = load_of(shard);
            if (!is_moving(shard) && load < gap && load > best_load && load <= gap / 2 + 0.5) {
                best = shard;
                best_load = load;
            }
        }
        if (!best) {
            return;
        }
        move(*best, least->first);
    }
}

void shard_layout::drain(const server_id& server, const std::optional<shard_id>& kept)
{
    const auto data_centre =
        servers_.contains(server) ? servers_.at(server).data_centre : data_centre_id{};
    const auto shards = shards_by_server_[server];
    for (const auto& shard : shards) {
        if (kept == shard || is_moving(shard)) {
            continue;
        }
        if (const auto to = least_loaded(data_centre, server)) {
            move(shard, *to);
        }
    }
}

server_id shard_layout::standby_for(const shard_id& shard, const server_id& owner) const
{
    server_id best = owner;
    std::pair<bool, std::uint64_t> best_rank;
    const auto seed = stable_hash(to_string(shard));
    for (const auto& [id, load] : load_by_server_) {
        const std::pair rank{servers_.at(id).data_centre != servers_.at(owner).data_centre,
                             stable_hash(id.value, seed)};
        if (id != owner && (best == owner || rank < best_rank)) {
            best = id;
            best_rank = rank;
        }
    }
    return best;
}

std::size_t shard_layout::shards_moved() const
{
    return static_cast<std::size_t>(
        std::count_if(owners_.begin(), owners_.end(), [this](const auto& item) {
            return state_.shards().at(item.first).owner != item.second;
        }));
}

// A shard that keeps its owner gets a new standby when its current one takes no more shards.
std::vector<shard_move> shard_layout::moves() const
{
    std::vector<shard_move> result;
    for (const auto& [shard, owner] : owners_) {
        const auto& entry = state_.shards().at(shard);
        const bool standby_excluded = !load_by_server_.contains(entry.standby);
        const bool stays = entry.owner == owner;
        if ((stays && !standby_excluded) || entry.previous_owner || !servers_.contains(owner)) {
            continue;
        }
        result.push_back({.shard = shard,
                          .expected_fence = entry.fence,
                          .to = owner,
                          .standby = standby_for(shard, owner)});
    }
    return result;
}

} // namespace quincewing
