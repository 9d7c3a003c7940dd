#pragma once

#include "quincewing/base/ids.hpp"
#include "quincewing/ledger/stored_response.hpp"

#include <cstdint>
#include <string>

namespace quincewing {

/// State of a request with an idempotency key.
enum class execution_state : std::uint8_t
{
    /// May be executing or have been executed; must not be executed again.
    started,
    answered,
    /// Certainly not executed; a repeat may be executed.
    not_executed,
    /// The response was lost and the outcome is unknown; repeats are answered `unknown`.
    unknown
};

/// One idempotency key in the ledger, as copied between hosts.
struct ledger_item
{
    shard_id shard;
    std::string key;
    /// Hash of method, path and body; reusing a key for a different request is an error.
    std::uint64_t fingerprint{};
    execution_state state{execution_state::started};
    stored_response response;
    /// What is left of the time for which it is kept, in microseconds.
    std::uint64_t remaining{};

    template <class F>
    void each_field(F&& f)
    {
        f(shard);
        f(key);
        f(fingerprint);
        f(state);
        f(response);
        f(remaining);
    }
};

} // namespace quincewing
