#pragma once

#include "quincewing/base/time.hpp"
#include "quincewing/ledger/ledger_item.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace quincewing {

/// Limits of a ledger.
struct ledger_options
{
    /// How long a key is kept after its request was recorded or completed.
    duration window{seconds{600}};
    /// New keys are rejected beyond this: evicting one could let its request be executed twice.
    std::size_t max_entries{200'000};
    /// Larger bodies are not stored.
    std::size_t max_body_bytes{64UL * 1024};
    /// Total size of stored bodies; beyond it the oldest bodies are dropped.
    std::size_t max_stored_bytes{24UL * 1024 * 1024};
};

/// Result of looking up or recording a key.
enum class ledger_lookup : std::uint8_t
{
    new_key,
    /// May be executing.
    in_progress,
    /// A response is stored.
    answered,
    /// The outcome was lost.
    unknown,
    /// The key belongs to a request with another fingerprint.
    mismatch,
    /// The key is new and max_entries is reached.
    full
};

/// Records the execution state and response of non-idempotent requests by shard and idempotency
/// key, so that none is executed twice.
class ledger
{
public:
    explicit ledger(ledger_options options = {}) : options_(options) {}

    /// Looks up a key without recording it; never returns `full`.
    [[nodiscard]] ledger_lookup lookup(const shard_id& shard, const std::string& key,
                                       std::uint64_t fingerprint) const;
    /// Records a new key as started and returns `new_key`; otherwise returns the reason why not.
    ledger_lookup record_start(instant now, const shard_id& shard, const std::string& key,
                               std::uint64_t fingerprint);
    /// Records the outcome of a request. `not_executed` removes the key. Returns the item to
    /// replicate.
    ledger_item record_end(instant now, const shard_id& shard, const std::string& key,
                           execution_state state, stored_response response);
    /// Returns nullptr when the key isn't in the ledger.
    [[nodiscard]] const stored_response* response(const shard_id& shard,
                                                  const std::string& key) const;
    /// The key must be in the ledger.
    [[nodiscard]] ledger_item item(instant now, const shard_id& shard,
                                   const std::string& key) const;

    /// Applies an item replicated from another host.
    void apply(instant now, const ledger_item& it);
    [[nodiscard]] std::vector<ledger_item> items(instant now) const;
    [[nodiscard]] std::vector<ledger_item> items_for_shard(instant now,
                                                           const shard_id& shard) const;
    void erase_shard(const shard_id& shard);
    void clear();
    /// Removes expired keys.
    void expire(instant now);

    [[nodiscard]] std::size_t size() const { return entries_.size(); }
    [[nodiscard]] std::size_t stored_bytes() const { return stored_bytes_; }

private:
    using entry_key = std::pair<shard_id, std::string>;
    struct entry
    {
        std::uint64_t fingerprint{};
        execution_state state{execution_state::started};
        stored_response response;
        instant expires{};
    };

    void store_response(entry& it, stored_response response, const entry_key& key);
    void drop_body(entry& it);
    void drop_oldest_bodies();
    [[nodiscard]] ledger_item to_item(instant now, const entry_key& key, const entry& it) const;

    ledger_options options_;
    std::map<entry_key, entry> entries_;
    /// Expiry queue; contains a key once for each time its expiry was set.
    std::deque<std::pair<instant, entry_key>> by_expiry_;
    std::deque<entry_key> keys_with_body_;
    std::size_t stored_bytes_{};
};

} // namespace quincewing
