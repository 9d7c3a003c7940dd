#pragma once

#include "quincewing/base/ids.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace quincewing {

/// A service, as accepted by the log.
struct service_entry
{
    service_id id;
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

struct server_entry
{
    server_id id;
    service_id service;
    data_centre_id data_centre;
    /// "ip:port"
    std::string address;
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

/// The entry hosts through which requests reach one backend server.
struct pair_entry
{
    host_id leader;
    host_id standby;
    /// Offset of the record that made this pair; 0 when there is none yet.
    std::uint64_t term{};
    /// The leader waits for the isolation hold before it acts.
    bool isolation_hold{};
    /// Host that wrote the record.
    host_id author;
    /// The leader starts without the ledger of the pair before.
    bool ledger_missing{};
    /// Term since which the leader has been the same host.
    std::uint64_t leader_first_term{};
    /// Term just before that.
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

struct shard_entry
{
    server_id owner;
    /// Takes over when the owner is lost.
    server_id standby;
    quincewing::fence fence;
    /// Owner before the last move, until that move is settled.
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
