#pragma once

#include "quincewing/base/time.hpp"

#include <cstddef>

namespace quincewing {

struct shared_retry_budget_options
{
    /// Repeats that the fleet may send in a window: this share of the requests,
    double share{0.2};
    /// and this many beside.
    double extra{50};
    duration window{seconds{10}};
    /// Part of the budget that is used, so that hosts that count apart stay within it together.
    double used{0.7};
};

/// This host's part of the fleet's budget for sending requests to servers again. No host asks
/// another: each lives on the share of its own requests and an even part of the extra.
class shared_retry_budget
{
public:
    explicit shared_retry_budget(shared_retry_budget_options options = {}) : options_(options) {}

    void on_request(instant now);
    /// Whether one more repeat may be sent; counts it.
    bool try_spend(instant now, std::size_t hosts);

private:
    void refill(instant now, std::size_t hosts);

    shared_retry_budget_options options_;
    double earned_{};
    double extra_{-1};
    instant filled_{};
};

} // namespace quincewing
