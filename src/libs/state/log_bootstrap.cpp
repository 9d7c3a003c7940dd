#include "quincewing/state/log_bootstrap.hpp"

#include "quincewing/base/hash.hpp"

#include <algorithm>

namespace quincewing {

namespace {

// Offset of the first record ever appended; a log that still keeps it needs no snapshot.
constexpr std::uint64_t first_record_offset = 1;

} // namespace

void log_bootstrap::add(log_offset offset, record rec)
{
    if (const auto* chunk = std::get_if<snapshot_chunk>(&rec.body)) {
        chunk_author_ = rec.author;
        add_chunk(*chunk);
    }
    records_.emplace_back(offset, std::move(rec));
}

void log_bootstrap::add_chunk(const snapshot_chunk& chunk)
{
    const std::pair key{chunk_author_, chunk.applied_offset};
    if (chunk.index == 0) {
        incomplete_snapshots_[key] = {};
    }
    const auto found = incomplete_snapshots_.find(key);
    if (found == incomplete_snapshots_.end() || found->second.next_index != chunk.index) {
        return;
    }
    found->second.data += chunk.data;
    ++found->second.next_index;
    if (found->second.next_index < chunk.count) {
        return;
    }
    const auto data = std::move(found->second.data);
    incomplete_snapshots_.erase(found);
    auto state = log_state::parse(data);
    const bool newer =
        !newest_snapshot_ || chunk.applied_offset > newest_snapshot_->applied_offset();
    if (!state || stable_hash(data) != chunk.digest || !newer) {
        return;
    }
    newest_snapshot_ = std::move(*state);
    std::erase_if(records_,
                  [&](const auto& item) { return item.first.value <= chunk.applied_offset; });
}

std::optional<log_state> log_bootstrap::finish(log_offset first_kept)
{
    if (!newest_snapshot_ && first_kept.value > first_record_offset) {
        return {};
    }
    auto state = newest_snapshot_.value_or(log_state{});
    for (const auto& [offset, rec] : records_) {
        if (offset.value > state.applied_offset()) {
            state.apply(offset, rec);
        }
    }
    return state;
}

std::vector<snapshot_chunk> make_snapshot(const log_state& state, std::size_t chunk_bytes)
{
    const auto data = state.serialise();
    const auto count = std::max<std::size_t>((data.size() + chunk_bytes - 1) / chunk_bytes, 1);
    std::vector<snapshot_chunk> chunks;
    for (std::size_t i = 0; i < count; ++i) {
        chunks.push_back({.applied_offset = state.applied_offset(),
                          .index = static_cast<std::uint32_t>(i),
                          .count = static_cast<std::uint32_t>(count),
                          .digest = i + 1 == count ? stable_hash(data) : 0,
                          .data = data.substr(i * chunk_bytes, chunk_bytes)});
    }
    return chunks;
}

} // namespace quincewing
