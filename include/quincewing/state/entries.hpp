#pragma once

#include "quincewing/base/ids.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace quincewing {

/// A service whose requests are handled by backend servers.
struct service_entry
{
    service_id id;
    /// Number of shards that its keys are hashed to.
    std::uint32_t shards{};
    bool keyed{};

    template <class F>
    void each_field(F&& f)
    {
        f(id);
        f(shards);
        f(keyed);
    }
};

/// A backend server of one service.
struct server_entry
{
    server_id id;
    service_id service;
    data_centre_id data_centre;
    /// "ip:port"
    std::string address;
    /// An operator retires the server: it gets no more shards.
    bool retiring{};

    template <class F>
    void each_field(F&& f)
    {
        f(id);
        f(service);
        f(data_centre);
        f(address);
        f(retiring);
    }
};

/// The leader and standby host through which requests reach one backend server. Both are empty
/// and the term is 0 until the first pair_change of the server.
struct pair_entry
{
    host_id leader;
    host_id standby;
    /// Log offset of the pair_change that set this pair.
    std::uint64_t term{};
    /// The leader waits for the isolation hold to pass before it acts.
    bool isolation_hold{};
    /// Host that appended the pair_change.
    host_id author;
    /// The leader starts without the ledger of the previous pair.
    bool ledger_missing{};
    /// First term of the unbroken run of terms with this leader.
    std::uint64_t leader_first_term{};
    /// Last term before leader_first_term; 0 when there was none.
    std::uint64_t previous_leader_last_term{};

    template <class F>
    void each_field(F&& f)
    {
        f(leader);
        f(standby);
        f(term);
        f(isolation_hold);
        f(author);
        f(ledger_missing);
        f(leader_first_term);
        f(previous_leader_last_term);
    }
    [[nodiscard]] bool has(const host_id& host) const { return host == leader || host == standby; }
};

/// Which server owns a shard.
struct shard_entry
{
    server_id owner;
    /// Server that takes over when the owner is lost.
    server_id standby;
    quincewing::fence fence;
    /// Owner before the last move, until a moves_completed record confirms that move.
    std::optional<server_id> previous_owner;

    template <class F>
    void each_field(F&& f)
    {
        f(owner);
        f(standby);
        f(fence);
        f(previous_owner);
    }
};

} // namespace quincewing
