#pragma once

#include "quincewing/deployment/store_api.hpp"

#include <functional>

namespace quincewing {

struct store_era_hooks
{
    /// The store came back from an older copy, or the host learns the store's era for the first
    /// time (from is 0 then). Called before the answer that told it is passed on.
    std::function<void(store_era from, store_era to)> on_change;
    /// An answer of an earlier era was dropped. May be empty.
    std::function<void(store_era told, store_era known)> on_stale;
};

/// Knows the store's era, and passes on only answers that are of use in it. Does no I/O itself.
class store_era_gate
{
public:
    explicit store_era_gate(store_era_hooks hooks);

    /// The same calls behind this gate, which must live as long as they. An answer of an earlier
    /// era, or one to an append whose offset is of an earlier era, is `unknown`; a read from such
    /// an offset is `dropped`, as its records are not those that follow.
    store_api wrap(store_api inner);
    /// Another host knows this era.
    void on_told(store_era era);

    [[nodiscard]] store_era era() const { return era_; }

private:
    /// Whether the answer is of the known era, which it may raise.
    bool pass(store_era sent_in, store_era told);

    store_era_hooks hooks_;
    store_era era_;
};

} // namespace quincewing
