#pragma once

#include "quincewing/base/ids.hpp"
#include "quincewing/ledger/stored_response.hpp"

#include <cstdint>
#include <string>

namespace quincewing {

enum class execution_state : std::uint8_t
{
    /// May be running or may have run; it never runs again.
    started,
    answered,
    /// Certain not to have run; a repeat may run.
    not_executed,
    /// The run's answer was lost; repeats are told `unknown`.
    unknown
};

/// One idempotency key in the ledger, as copied between hosts.
struct ledger_item
{
    shard_id shard;
    std::string key;
    /// Hash of method, path and body: the same key with another request is an error.
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
