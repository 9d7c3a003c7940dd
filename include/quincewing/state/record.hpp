#pragma once

#include "quincewing/state/entries.hpp"

#include <map>
#include <string>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace quincewing {

/// Services and servers that a deployment starts with; void when the log has one already.
struct initial_deployment
{
    std::vector<service_entry> services;
    std::vector<server_entry> servers;

    template <class F>
    void each_field(F&& f)
    {
        f(services);
        f(servers);
    }
};

/// Sets the leader and standby host of a server; void unless its pair is still at expected_term.
struct pair_change
{
    server_id server;
    std::uint64_t expected_term{};
    host_id leader;
    host_id standby;
    /// The new leader must wait for the isolation hold: the author wasn't a confirmed member of the
    /// current pair, or a hold that the author itself waits for hasn't passed.
    bool isolation_hold{};
    /// The new leader doesn't have the ledger of the previous pair.
    bool ledger_missing{};

    template <class F>
    void each_field(F&& f)
    {
        f(server);
        f(expected_term);
        f(leader);
        f(standby);
        f(isolation_hold);
        f(ledger_missing);
    }
};

/// Moves one shard to another owner; void unless the shard is still at the expected fence.
struct shard_move
{
    shard_id shard;
    fence expected_fence;
    server_id to;
    server_id standby;

    template <class F>
    void each_field(F&& f)
    {
        f(shard);
        f(expected_fence);
        f(to);
        f(standby);
    }
};

/// Moves shards away from a lost server. Each move is applied or rejected on its own; the record is
/// void when all are rejected.
struct shard_moves
{
    server_id from;
    /// Fence round of the last of these moves that was made without the log; 0 when none was.
    std::uint32_t round{};
    std::vector<shard_move> moves;

    template <class F>
    void each_field(F&& f)
    {
        f(from);
        f(round);
        f(moves);
    }
};

/// Confirms that the new owner of each shard has the previous owner's proof of release, at this
/// fence.
struct moves_completed
{
    struct item
    {
        shard_id shard;
        quincewing::fence fence;
        template <class F>
        void each_field(F&& f)
        {
            f(shard);
            f(fence);
        }
    };
    std::vector<item> items;

    template <class F>
    void each_field(F&& f)
    {
        f(items);
    }
};

/// A plan that an operator confirmed; applied as a whole or not at all.
struct plan_confirmed
{
    plan_id plan;
    std::string operator_name;
    /// log_state::config_version() that the plan was computed from; void when it has changed since.
    std::uint64_t expected_version{};
    std::vector<server_entry> add;
    std::vector<server_id> retire;
    std::map<std::string, std::string> set;
    std::vector<shard_move> moves;

    template <class F>
    void each_field(F&& f)
    {
        f(plan);
        f(operator_name);
        f(expected_version);
        f(add);
        f(retire);
        f(set);
        f(moves);
    }
};

/// A part of a serialised log_state.
struct snapshot_chunk
{
    /// Last log offset applied to the serialised state.
    std::uint64_t applied_offset{};
    std::uint32_t index{};
    std::uint32_t count{};
    /// Hash of the whole snapshot in the last chunk; 0 in the others.
    std::uint64_t digest{};
    std::string data;

    template <class F>
    void each_field(F&& f)
    {
        f(applied_offset);
        f(index);
        f(count);
        f(digest);
        f(data);
    }
};

using record_body = std::variant<initial_deployment, pair_change, shard_moves, moves_completed,
                                 plan_confirmed, snapshot_chunk>;

/// One entry of the log.
struct record
{
    /// Version of the record format.
    std::uint32_t version{1};
    record_id id;
    host_id author;
    record_body body;

    template <class F>
    void each_field(F&& f)
    {
        f(version);
        f(id);
        f(author);
        f(body);
    }
};

std::string encode_record(const record& rec);
/// Returns the record, or an error when the bytes are malformed or of a newer version.
tl::expected<record, std::string> decode_record(std::string_view buf);

} // namespace quincewing
