#include "quincewing/ledger/ledger.hpp"

#include <algorithm>

namespace quincewing {

ledger_lookup ledger::lookup(const shard_id& shard, const std::string& key,
                             std::uint64_t fingerprint) const
{
    const auto found = entries_.find({shard, key});
    if (found == entries_.end()) {
        return ledger_lookup::new_key;
    }
    if (found->second.fingerprint != fingerprint) {
        return ledger_lookup::mismatch;
    }
    switch (found->second.state) {
    case execution_state::answered:
        return ledger_lookup::answered;
    case execution_state::unknown:
        return ledger_lookup::unknown;
    default:
        return ledger_lookup::in_progress;
    }
}

ledger_lookup ledger::record_start(instant now, const shard_id& shard, const std::string& key,
                                   std::uint64_t fingerprint)
{
    const auto known = lookup(shard, key, fingerprint);
    if (known != ledger_lookup::new_key) {
        return known;
    }
    if (entries_.size() >= options_.max_entries) {
        return ledger_lookup::full;
    }
    const entry_key id{shard, key};
    const auto expires = now + options_.window;
    entries_[id] = {.fingerprint = fingerprint, .expires = expires};
    by_expiry_.emplace_back(expires, id);
    return ledger_lookup::new_key;
}

ledger_item ledger::record_end(instant now, const shard_id& shard, const std::string& key,
                               execution_state state, stored_response response)
{
    const entry_key id{shard, key};
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
        return {.shard = shard, .key = key, .state = execution_state::not_executed};
    }
    if (state == execution_state::not_executed) {
        auto removed = to_item(now, id, found->second);
        removed.state = execution_state::not_executed;
        drop_body(found->second);
        entries_.erase(found);
        return removed;
    }
    auto& it = found->second;
    it.state = state;
    it.expires = now + options_.window;
    by_expiry_.emplace_back(it.expires, id);
    store_response(it, std::move(response), id);
    auto item = to_item(now, id, it);
    drop_oldest_bodies();
    return item;
}

void ledger::store_response(entry& it, stored_response response, const entry_key& key)
{
    drop_body(it);
    it.response = std::move(response);
    if (it.response.body.size() > options_.max_body_bytes) {
        it.response.body.clear();
        it.response.body_dropped = true;
    }
    stored_bytes_ += it.response.body.size();
    if (!it.response.body.empty()) {
        keys_with_body_.push_back(key);
    }
}

void ledger::drop_body(entry& it)
{
    stored_bytes_ -= it.response.body.size();
    if (!it.response.body.empty()) {
        it.response.body = {};
        it.response.body_dropped = true;
    }
}

void ledger::drop_oldest_bodies()
{
    while (stored_bytes_ > options_.max_stored_bytes && !keys_with_body_.empty()) {
        const auto found = entries_.find(keys_with_body_.front());
        keys_with_body_.pop_front();
        if (found != entries_.end()) {
            drop_body(found->second);
        }
    }
}

const stored_response* ledger::response(const shard_id& shard, const std::string& key) const
{
    const auto found = entries_.find({shard, key});
    return found == entries_.end() ? nullptr : &found->second.response;
}

ledger_item ledger::item(instant now, const shard_id& shard, const std::string& key) const
{
    const entry_key id{shard, key};
    return to_item(now, id, entries_.at(id));
}

ledger_item ledger::to_item(instant now, const entry_key& key, const entry& it) const
{
    const auto remaining = std::max(it.expires - now, duration{0});
    return {.shard = key.first,
            .key = key.second,
            .fingerprint = it.fingerprint,
            .state = it.state,
            .response = it.response,
            .remaining = static_cast<std::uint64_t>(remaining.count())};
}

void ledger::apply(instant now, const ledger_item& it)
{
    const entry_key id{it.shard, it.key};
    if (it.state == execution_state::not_executed) {
        if (const auto found = entries_.find(id); found != entries_.end()) {
            drop_body(found->second);
            entries_.erase(found);
        }
        return;
    }
    auto& to = entries_[id];
    to.fingerprint = it.fingerprint;
    to.state = it.state;
    to.expires = now + std::chrono::microseconds{it.remaining};
    by_expiry_.emplace_back(to.expires, id);
    store_response(to, it.response, id);
    drop_oldest_bodies();
}

std::vector<ledger_item> ledger::items(instant now) const
{
    std::vector<ledger_item> out;
    out.reserve(entries_.size());
    for (const auto& [key, it] : entries_) {
        out.push_back(to_item(now, key, it));
    }
    return out;
}

std::vector<ledger_item> ledger::items_for_shard(instant now, const shard_id& shard) const
{
    std::vector<ledger_item> out;
    for (auto it = entries_.lower_bound({shard, {}});
         it != entries_.end() && it->first.first == shard; ++it) {
        out.push_back(to_item(now, it->first, it->second));
    }
    return out;
}

void ledger::erase_shard(const shard_id& shard)
{
    auto it = entries_.lower_bound({shard, {}});
    while (it != entries_.end() && it->first.first == shard) {
        drop_body(it->second);
        it = entries_.erase(it);
    }
}

void ledger::clear()
{
    entries_.clear();
    by_expiry_.clear();
    keys_with_body_.clear();
    stored_bytes_ = 0;
}

// Replicated items may be queued out of order of expiry. Such a key expires late, never early.
void ledger::expire(instant now)
{
    while (!by_expiry_.empty() && by_expiry_.front().first <= now) {
        const auto found = entries_.find(by_expiry_.front().second);
        if (found != entries_.end() && found->second.expires <= now) {
            drop_body(found->second);
            entries_.erase(found);
        }
        by_expiry_.pop_front();
    }
}

} // namespace quincewing
