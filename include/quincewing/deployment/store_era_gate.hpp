#pragma once

#include "quincewing/deployment/store_api.hpp"

#include <functional>

namespace quincewing {

struct store_era_hooks
{
    /// The store came back from an older copy, or the host learns the store's era for the first
    /// time (from is 0 then).
    std::function<void(store_era from, store_era to)> on_change;
};

/// Knows the store's era, from the answers to all calls.
class store_era_gate
{
public:
    explicit store_era_gate(store_era_hooks hooks);

    /// The same calls, whose answers tell the era here; this object must live as long as they.
    store_api wrap(store_api inner);

    [[nodiscard]] store_era era() const { return era_; }

private:
    void note(store_era told);

    store_era_hooks hooks_;
    store_era era_;
};

} // namespace quincewing
