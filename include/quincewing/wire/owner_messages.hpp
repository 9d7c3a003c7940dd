#pragma once

#include "quincewing/ledger/ledger_item.hpp"
#include "quincewing/ownership/pair_messages.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace quincewing {

/// What a pair knows of one shard beyond the log, as copied to the standby.
struct shard_fact
{
    shard_id shard;
    /// The proof of release up to this fence is in hand.
    quincewing::fence fence;
    /// Given to this server without the log; empty when still here.
    server_id given_to;
    /// Until then keys that the ledger does not know are answered `unknown`; microseconds left.
    std::uint64_t blind_left{};

    template <class F>
    void each_field(F&& f)
    {
        f(shard);
        f(fence);
        f(given_to);
        f(blind_left);
    }
};

/// Leader to standby: changes to the ledger, or the whole of it.
struct ledger_update
{
    server_id server;
    pair_view view;
    /// Number of the first change; the standby takes it only if it follows its last.
    std::uint64_t number{};
    /// All that the leader holds: replaces what the standby has.
    bool whole{};
    std::vector<ledger_item> items;
    std::vector<shard_fact> facts;

    template <class F>
    void each_field(F&& f)
    {
        f(server);
        f(view);
        f(number);
        f(whole);
        f(items);
        f(facts);
    }
};

/// The new owner's leader asks the old owner's for the proof of release.
struct release_request
{
    server_id from;
    server_id to;
    shard_id shard;
    quincewing::fence fence;
    /// Server that says it never took the shard that was given to it without the log.
    server_id not_taken_by;

    template <class F>
    void each_field(F&& f)
    {
        f(from);
        f(to);
        f(shard);
        f(fence);
        f(not_taken_by);
    }
};

/// Proof that the old owner serves the shard no more, with the shard's ledger.
struct shard_release
{
    server_id from;
    server_id to;
    shard_id shard;
    quincewing::fence fence;
    /// Not held here any more: given to this server without the log. Empty in a proof.
    server_id ask_instead;
    /// Never taken here, and never will be: the giver still has it.
    bool not_taken{};
    /// Made without the log, by the pair of this term in the log.
    bool alone{};
    std::uint64_t term{};
    std::uint64_t blind_left{};
    std::vector<ledger_item> items;

    template <class F>
    void each_field(F&& f)
    {
        f(from);
        f(to);
        f(shard);
        f(fence);
        f(ask_instead);
        f(not_taken);
        f(alone);
        f(term);
        f(blind_left);
        f(items);
    }
};

/// The new owner's pair has the shard's ledger on both hosts.
struct release_taken
{
    server_id from;
    shard_id shard;
    quincewing::fence fence;

    template <class F>
    void each_field(F&& f)
    {
        f(from);
        f(shard);
        f(fence);
    }
};

/// How a run ended whose leader had to pass the server on meanwhile.
struct late_answer
{
    server_id server;
    ledger_item item;

    template <class F>
    void each_field(F&& f)
    {
        f(server);
        f(item);
    }
};

/// Who leads a server, for routing; no decision rests on it.
struct leader_hint
{
    server_id server;
    pair_view view;
    /// The server does not answer its leader.
    bool lost{};

    template <class F>
    void each_field(F&& f)
    {
        f(server);
        f(view);
        f(lost);
    }
};

/// A shard that a server took without the log, for routing; no decision rests on it.
struct shard_hint
{
    shard_id shard;
    server_id server;
    quincewing::fence fence;

    template <class F>
    void each_field(F&& f)
    {
        f(shard);
        f(server);
        f(fence);
    }
};

/// Sign of life between hosts.
struct heartbeat
{
    data_centre_id data_centre;
    /// Offset up to which the sender has replayed the log.
    std::uint64_t applied{};
    /// This host stops soon and is no candidate for anything.
    bool leaving{};
    /// Digest of the crash marks that the sender knows.
    std::uint64_t crash_digest{};

    template <class F>
    void each_field(F&& f)
    {
        f(data_centre);
        f(applied);
        f(leaving);
        f(crash_digest);
    }
};

/// Asks for, and carries, the replayed state; for a start while the log is away.
struct state_request
{
    std::uint64_t applied{};

    template <class F>
    void each_field(F&& f)
    {
        f(applied);
    }
};

struct state_reply
{
    std::string data;

    template <class F>
    void each_field(F&& f)
    {
        f(data);
    }
};

} // namespace quincewing
