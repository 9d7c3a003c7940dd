#pragma once

#include "quincewing/state/log_state.hpp"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace quincewing {

/// Rebuilds the state of a starting host from the records that the log still keeps.
class log_bootstrap
{
public:
    /// Adds the next record; offsets must increase.
    void add(log_offset offset, record rec);
    /// Returns the state after the last record added. Empty when records before first_kept were
    /// truncated and no complete, valid snapshot was added.
    std::optional<log_state> finish(log_offset first_kept);

private:
    struct incomplete_snapshot
    {
        std::uint32_t next_index{};
        std::string data;
    };

    void add_chunk(const snapshot_chunk& chunk);

    /// Records after newest_snapshot_.
    std::vector<std::pair<log_offset, record>> records_;
    /// By author and applied_offset of the chunks.
    std::map<std::pair<host_id, std::uint64_t>, incomplete_snapshot> incomplete_snapshots_;
    host_id chunk_author_;
    std::optional<log_state> newest_snapshot_;
};

/// Serialises the state and splits it into chunks of at most chunk_bytes; the last chunk carries
/// the digest of the whole.
std::vector<snapshot_chunk> make_snapshot(const log_state& state, std::size_t chunk_bytes);

} // namespace quincewing
