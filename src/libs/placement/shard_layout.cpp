#include "shard_layout.hpp"

#include "quincewing/base/hash.hpp"

#include <algorithm>

namespace quincewing {

shard_layout::shard_layout(const log_state& state, service_id service, const shard_loads& loads,
                           const std::set<server_id>& lost)
    : state_(state), service_(std::move(service)), shard_loads_(loads)
{
    for (const auto& [id, server] : state.servers()) {
        if (server.service == service_) {
            servers_[id] = server;
            if (!server.retiring && !lost.contains(id)) {
                loads_[id] = 0;
            }
        }
    }
    for (const auto& [shard, entry] : state.shards()) {
        if (shard.service != service_) {
            continue;
        }
        owners_[shard] = entry.owner;
        held_[entry.owner].insert(shard);
        if (const auto found = loads_.find(entry.owner); found != loads_.end()) {
            found->second += load_of(shard);
        }
    }
}

double shard_layout::load_of(const shard_id& shard) const
{
    const auto found = shard_loads_.find(shard);
    return found == shard_loads_.end() ? 1.0 : found->second;
}

bool shard_layout::moving(const shard_id& shard) const
{
    const auto found = state_.shards().find(shard);
    return found != state_.shards().end() && found->second.previous_owner.has_value();
}

void shard_layout::add_server(const server_entry& server)
{
    servers_[server.id] = server;
    loads_.try_emplace(server.id, 0.0);
}

void shard_layout::close_server(const server_id& server)
{
    loads_.erase(server);
}

double shard_layout::mean() const
{
    double sum = 0;
    for (const auto& [id, load] : loads_) {
        sum += load;
    }
    return loads_.empty() ? 0 : sum / static_cast<double>(loads_.size());
}

double shard_layout::imbalance() const
{
    double most = 0;
    for (const auto& [id, load] : loads_) {
        most = std::max(most, load);
    }
    const auto average = mean();
    return average > 0 ? most / average : 1.0;
}

void shard_layout::move(const shard_id& shard, const server_id& to)
{
    auto& owner = owners_[shard];
    if (const auto from = loads_.find(owner); from != loads_.end()) {
        from->second -= load_of(shard);
    }
    held_[owner].erase(shard);
    owner = to;
    held_[to].insert(shard);
    loads_[to] += load_of(shard);
}

std::optional<server_id> shard_layout::emptiest(const data_centre_id& preferred,
                                                const server_id& but) const
{
    std::optional<server_id> best;
    std::tuple<bool, double, std::uint64_t> best_rank;
    for (const auto& [id, load] : loads_) {
        if (id == but) {
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

// Each step takes the largest shard that narrows the gap between the fullest and the emptiest
// server, so that as few shards as possible move.
void shard_layout::level(double tolerance)
{
    const auto by_load = [](const auto& a, const auto& b) { return a.second < b.second; };
    for (std::size_t n = 0; n < owners_.size(); ++n) {
        if (loads_.size() < 2) {
            return;
        }
        const auto most = std::max_element(loads_.begin(), loads_.end(), by_load);
        const auto least = std::min_element(loads_.begin(), loads_.end(), by_load);
        const bool empty_server = held_[least->first].empty();
        if (most->second <= tolerance * mean() && !empty_server) {
            return;
        }
        const auto gap = most->second - least->second;
        std::optional<shard_id> best;
        double best_load = 0;
        for (const auto& shard : held_[most->first]) {
            const auto load = load_of(shard);
            if (!moving(shard) && load < gap && load > best_load && load <= gap / 2 + 0.5) {
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

void shard_layout::drain(const server_id& server, const std::optional<shard_id>& keep)
{
    const auto home =
        servers_.contains(server) ? servers_.at(server).data_centre : data_centre_id{};
    const auto shards = held_[server];
    for (const auto& shard : shards) {
        if (keep == shard || moving(shard)) {
            continue;
        }
        if (const auto to = emptiest(home, server)) {
            move(shard, *to);
        }
    }
}

server_id shard_layout::standby_for(const shard_id& shard, const server_id& owner) const
{
    server_id best = owner;
    std::pair<bool, std::uint64_t> best_rank;
    const auto seed = stable_hash(to_string(shard));
    for (const auto& [id, load] : loads_) {
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
        std::count_if(owners_.begin(), owners_.end(), [this](const auto& it) {
            return state_.shards().at(it.first).owner != it.second;
        }));
}

// Shards that stay may still need another standby, when theirs takes no shards any more.
std::vector<shard_move> shard_layout::moves() const
{
    std::vector<shard_move> out;
    for (const auto& [shard, owner] : owners_) {
        const auto& entry = state_.shards().at(shard);
        const bool standby_gone = !loads_.contains(entry.standby);
        const bool stays = entry.owner == owner;
        if ((stays && !standby_gone) || entry.previous_owner || !servers_.contains(owner)) {
            continue;
        }
        out.push_back({.shard = shard,
                       .expected_fence = entry.fence,
                       .to = owner,
                       .standby = standby_for(shard, owner)});
    }
    return out;
}

} // namespace quincewing
