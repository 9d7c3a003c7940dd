#pragma once

#include "quincewing/base/time.hpp"
#include "quincewing/control/effects.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace quincewing {

/// State of a shard at the host that leads its server, from acquisition to release.
enum class shard_phase : std::uint8_t
{
    /// The old owner has not yet proved that it stopped serving the shard.
    awaiting_proof,
    /// The server has not acknowledged the grant yet.
    granting,
    serving,
    /// No new requests are sent; those in flight run to their end.
    draining,
    /// The server was told to stop serving, or its grant is left to expire.
    revoking,
    /// The server no longer serves the shard.
    released
};

const char* to_string(shard_phase it);

/// What the leader of a server knows of one of the server's shards.
struct held_shard
{
    shard_phase phase{shard_phase::awaiting_proof};
    quincewing::fence fence;
    /// The log has assigned the shard to another server, at leaving_fence. The revocation carries
    /// that fence, so that the server rejects a renewal that is still under way.
    bool leaving{};
    quincewing::fence leaving_fence;
    std::size_t in_flight{};
    /// Requests that are dispatched once the shard is served.
    std::vector<request_id> waiting;
    instant phase_since{};
    /// When the proof of release was last requested.
    std::optional<instant> proof_requested_at;
    /// Taken over without the log: the owner according to the log may request the shard although
    /// the log shows no move.
    bool taken_without_log{};
    /// Set while the takeover is not recorded in the log: serving ends at this time at the latest.
    std::optional<instant> unrecorded_until;
    /// Server to request the proof from instead of the log's previous owner, after a move without
    /// the log; otherwise empty.
    server_id proof_source;
    /// The server that denied having taken the shard, as evidence for the one that gave it away.
    server_id not_taken_by;
};

/// State of a shard that the log does not hold. The leader replicates it to the standby.
struct shard_fact_entry
{
    /// The proof of release up to this fence is known.
    quincewing::fence fence;
    /// Server that the shard was given to; empty while it is still here.
    server_id given_to;
    /// Until then a key that is missing from the ledger may have run already, so that its outcome
    /// is reported as `unknown`.
    std::optional<instant> ledger_incomplete_until;
};

} // namespace quincewing
