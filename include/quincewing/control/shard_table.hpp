#pragma once

#include "quincewing/base/time.hpp"
#include "quincewing/control/effects.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace quincewing {

enum class shard_phase : std::uint8_t
{
    /// The old owner has not proved yet that it stopped.
    awaiting_proof,
    /// The server has not taken the grant yet.
    granting,
    serving,
    /// Admits nothing; what is in flight ends.
    draining,
    /// The server was told to stop, or its grant runs out.
    revoking,
    /// Not served here any more.
    released
};

const char* to_string(shard_phase it);

/// A shard as its server's leader holds it.
struct held_shard
{
    shard_phase phase{shard_phase::awaiting_proof};
    quincewing::fence fence;
    /// The log has given the shard to another server, at left_at. The server is told that fence
    /// when it is told to stop, so that a renewal under way is refused.
    bool leaving{};
    quincewing::fence left_at;
    std::size_t in_flight{};
    /// Requests that wait for the shard to be served.
    std::vector<request_id> waiting;
    instant since{};
    std::optional<instant> asked_at;
    /// Was taken without the log: the log's owner may ask for it although the log shows no move.
    bool was_alone{};
    /// Taken without the log and not recorded in it yet: served until then at the latest.
    std::optional<instant> alone_until;
    /// Server to ask for the proof, when the log's previous owner gave the shard away alone.
    server_id ask;
    /// That server's word that it never took the shard.
    server_id not_taken_by;
};

/// What is replicated to the standby about a shard beyond the log.
struct kept_fact
{
    quincewing::fence fence;
    server_id given_to;
    std::optional<instant> blind_until;
};

} // namespace quincewing
