#pragma once

#include "quincewing/placement/planner.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace quincewing {

/// A working copy of a service's shard placement, changed step by step while a plan is made. Keeps
/// references to the state and the shard loads.
class shard_layout
{
public:
    shard_layout(const log_state& state, service_id service, const shard_loads& loads,
                 const std::set<server_id>& lost);

    void add_server(const server_entry& server);
    /// Excludes the server from taking shards. It keeps the shards that it owns.
    void exclude_server(const server_id& server);

    void move(const shard_id& shard, const server_id& to);
    /// Moves shards from the most to the least loaded server until the highest load is at most
    /// tolerance times the mean and no server is without shards, or no move helps any more.
    void rebalance(double tolerance);
    /// Moves all shards of the server, except the kept one and those already being moved, each to
    /// the least loaded other server, in the same data centre when possible.
    void drain(const server_id& server, const std::optional<shard_id>& kept);

    /// Highest load of a server divided by the mean load.
    [[nodiscard]] double imbalance() const;
    /// The changes of owner and standby against the state that the layout was made from.
    [[nodiscard]] std::vector<shard_move> moves() const;
    [[nodiscard]] std::size_t shards_moved() const;
    [[nodiscard]] std::size_t shard_count() const { return owners_.size(); }
    [[nodiscard]] server_id owner(const shard_id& shard) const { return owners_.at(shard); }
    /// Whether the server may take shards.
    [[nodiscard]] bool has_server(const server_id& server) const
    {
        return load_by_server_.contains(server);
    }
    /// Whether an earlier move of the shard is not yet completed.
    [[nodiscard]] bool is_moving(const shard_id& shard) const;

private:
    [[nodiscard]] std::optional<server_id> least_loaded(const data_centre_id& preferred,
                                                        const server_id& excluded) const;
    [[nodiscard]] server_id standby_for(const shard_id& shard, const server_id& owner) const;
    [[nodiscard]] double load_of(const shard_id& shard) const;
    [[nodiscard]] double mean_load() const;

    const log_state& state_;
    service_id service_;
    const shard_loads& load_by_shard_;
    std::map<shard_id, server_id> owners_;
    std::map<server_id, server_entry> servers_;
    /// Load of each server that may take shards.
    std::map<server_id, double> load_by_server_;
    std::map<server_id, std::set<shard_id>> shards_by_server_;
};

} // namespace quincewing
