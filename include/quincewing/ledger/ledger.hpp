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

struct ledger_options
{
    /// How long a key is remembered after its run ended.
    duration window{seconds{600}};
    /// New keys are refused beyond this: dropping one could let it run twice.
    std::size_t max_entries{200'000};
    std::size_t max_body_bytes{64UL * 1024};
    /// Bodies of the oldest answers are dropped beyond this.
    std::size_t max_stored_bytes{24UL * 1024 * 1024};
};

enum class ledger_lookup : std::uint8_t
{
    new_key,
    in_progress,
    answered,
    unknown,
    /// The key was used for another request.
    mismatch,
    full
};

/// Which non-idempotent requests have run, by shard and idempotency key.
class ledger
{
public:
    explicit ledger(ledger_options options = {}) : options_(options) {}

    /// What is known of the key; notes nothing. fresh when it is new.
    [[nodiscard]] ledger_lookup lookup(const shard_id& shard, const std::string& key,
                                       std::uint64_t fingerprint) const;
    /// Notes the start of a run if the key is new.
    ledger_lookup record_start(instant now, const shard_id& shard, const std::string& key,
                               std::uint64_t fingerprint);
    /// Notes how the run ended. Returns the item to copy.
    ledger_item record_end(instant now, const shard_id& shard, const std::string& key,
                           execution_state state, stored_response response);
    [[nodiscard]] const stored_response* response(const shard_id& shard,
                                                  const std::string& key) const;
    [[nodiscard]] ledger_item item(instant now, const shard_id& shard,
                                   const std::string& key) const;

    /// Takes an item copied from another host.
    void apply(instant now, const ledger_item& it);
    [[nodiscard]] std::vector<ledger_item> items(instant now) const;
    [[nodiscard]] std::vector<ledger_item> items_for_shard(instant now,
                                                           const shard_id& shard) const;
    void erase_shard(const shard_id& shard);
    void clear();
    /// Forgets keys whose time is over.
    void expire(instant now);

    [[nodiscard]] std::size_t size() const { return entries_.size(); }
    [[nodiscard]] std::size_t stored_bytes() const { return kept_bytes_; }

private:
    using entry_key = std::pair<shard_id, std::string>;
    struct entry
    {
        std::uint64_t fingerprint{};
        execution_state state{execution_state::started};
        stored_response response;
        instant expires{};
    };

    void keep(entry& it, stored_response response, const entry_key& key);
    void drop_body(entry& it);
    void drop_oldest_bodies();
    [[nodiscard]] ledger_item to_item(instant now, const entry_key& key, const entry& it) const;

    ledger_options options_;
    std::map<entry_key, entry> entries_;
    /// Order of expiry; an entry stands here once for each time its expiry was set.
    std::deque<std::pair<instant, entry_key>> by_expiry_;
    std::deque<entry_key> with_body_;
    std::size_t kept_bytes_{};
};

} // namespace quincewing
