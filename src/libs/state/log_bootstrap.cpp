#include "quincewing/state/log_bootstrap.hpp"

#include "quincewing/base/hash.hpp"

#include <algorithm>

namespace quincewing {

namespace {

// Offsets begin at this number, so a log that still keeps it is complete.
constexpr std::uint64_t first_offset = 1;

} // namespace

void log_bootstrap::add(log_offset offset, record it)
{
    if (const auto* chunk = std::get_if<snapshot_chunk>(&it.body)) {
        chunk_author_ = it.author;
        add_chunk(*chunk);
    }
    records_.emplace_back(offset, std::move(it));
}

void log_bootstrap::add_chunk(const snapshot_chunk& chunk)
{
    const std::pair key{chunk_author_, chunk.as_of};
    if (chunk.index == 0) {
        partial_[key] = {};
    }
    const auto found = partial_.find(key);
    if (found == partial_.end() || found->second.next != chunk.index) {
        return;
    }
    found->second.data += chunk.data;
    ++found->second.next;
    if (found->second.next < chunk.count) {
        return;
    }
    const auto data = std::move(found->second.data);
    partial_.erase(found);
    auto state = log_state::parse(data);
    const bool newer = !newest_ || chunk.as_of > newest_->applied_offset();
    if (!state || stable_hash(data) != chunk.digest || !newer) {
        return;
    }
    newest_ = std::move(*state);
    std::erase_if(records_, [&](const auto& it) { return it.first.value <= chunk.as_of; });
}

std::optional<log_state> log_bootstrap::finish(log_offset first_kept)
{
    if (!newest_ && first_kept.value > first_offset) {
        return {};
    }
    auto state = newest_.value_or(log_state{});
    for (const auto& [offset, it] : records_) {
        if (offset.value > state.applied_offset()) {
            state.apply(offset, it);
        }
    }
    return state;
}

std::vector<snapshot_chunk> make_snapshot(const log_state& state, std::size_t chunk_bytes)
{
    const auto data = state.serialise();
    const auto count = std::max<std::size_t>((data.size() + chunk_bytes - 1) / chunk_bytes, 1);
    std::vector<snapshot_chunk> out;
    for (std::size_t i = 0; i < count; ++i) {
        out.push_back({.as_of = state.applied_offset(),
                       .index = static_cast<std::uint32_t>(i),
                       .count = static_cast<std::uint32_t>(count),
                       .digest = i + 1 == count ? stable_hash(data) : 0,
                       .data = data.substr(i * chunk_bytes, chunk_bytes)});
    }
    return out;
}

} // namespace quincewing
