#pragma once

#include "quincewing/base/time.hpp"

#include <cstddef>

namespace quincewing {

struct repeat_budget_options
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
class repeat_budget
{
public:
    explicit repeat_budget(repeat_budget_options options = {}) : options_(options) {}

    void on_request(instant now);
    /// Whether one more repeat may be sent; counts it.
    bool take(instant now, std::size_t hosts);

private:
    void refill(instant now, std::size_t hosts);

    repeat_budget_options options_;
    double earned_{};
    double extra_{-1};
    instant filled_{};
};

} // namespace quincewing
