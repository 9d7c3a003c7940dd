#pragma once

#include "quincewing/state/entries.hpp"

#include <map>
#include <string>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace quincewing {

/// First record of a deployment; void when any state exists.
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

/// Changes the pair of a server; void unless the pair is still at expected_term.
struct pair_change
{
    server_id server;
    std::uint64_t expected_term{};
    host_id leader;
    host_id standby;
    /// The author is a third party, or a hold that it inherited still runs.
    bool isolation_hold{};
    /// The new leader has not got the ledger of the pair before.
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

/// One shard's change of owner; void unless the shard is still at the expected fence.
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

/// Moves of shards whose server was lost; each stands or falls alone.
struct shard_moves
{
    server_id from;
    /// Fence rounds made without the log, one for each move; 0 when made through it.
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

/// The shard's new owner has the proof of release, at this fence.
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

/// An operator's confirmed plan; accepted whole or void whole.
struct plan_confirmed
{
    plan_id plan;
    std::string operator_name;
    /// Version of the configuration that the plan was made from.
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

/// A part of a snapshot; the last one carries the digest of the whole.
struct snapshot_chunk
{
    /// Offset up to which the snapshot's state is applied.
    std::uint64_t as_of{};
    std::uint32_t index{};
    std::uint32_t count{};
    std::uint64_t digest{};
    std::string data;

    template <class F>
    void each_field(F&& f)
    {
        f(as_of);
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
    /// Version of this format.
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

std::string encode_record(const record& it);
/// The record, or what is wrong with the bytes.
tl::expected<record, std::string> decode_record(std::string_view buf);

} // namespace quincewing
