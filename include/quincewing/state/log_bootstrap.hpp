#pragma once

#include "quincewing/state/log_state.hpp"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace quincewing {

/// Finds the state of a starting host in what the log still keeps.
class log_bootstrap
{
public:
    /// Takes the next record, in the order of offsets.
    void add(log_offset offset, record it);
    /// The state at the tail, once that is reached. Nothing when the log's beginning is gone and
    /// no snapshot in it is complete.
    std::optional<log_state> finish(log_offset first_kept);

private:
    struct partial_snapshot
    {
        std::uint32_t next{};
        std::string data;
    };

    void add_chunk(const snapshot_chunk& chunk);

    std::vector<std::pair<log_offset, record>> records_;
    std::map<std::pair<host_id, std::uint64_t>, partial_snapshot> partial_;
    host_id chunk_author_;
    std::optional<log_state> newest_;
};

/// The state as records to append, digest in the last.
std::vector<snapshot_chunk> make_snapshot(const log_state& state, std::size_t chunk_bytes);

} // namespace quincewing
