#pragma once

#include "quincewing/base/time.hpp"

#include <cstddef>

namespace quincewing {

struct shared_retry_budget_options
{
    /// Retries that all hosts together may send in a window: this share of their requests,
    double share{0.2};
    /// plus this fixed number.
    double extra{50};
    duration window{seconds{10}};
    /// Share of the budget that is used. The rest is a margin, as each host counts on its own.
    double usable_share{0.7};
};

/// This host's part of the retry budget that all hosts share. Hosts do not coordinate: each may
/// use the share that its own requests earn and an equal part of the fixed number.
class shared_retry_budget
{
public:
    explicit shared_retry_budget(shared_retry_budget_options options = {}) : options_(options) {}

    void on_request(instant now);
    /// Whether one more retry may be sent; if so, it is deducted from the budget.
    bool try_spend(instant now, std::size_t hosts);

private:
    void refill(instant now, std::size_t hosts);

    shared_retry_budget_options options_;
    /// Retries that requests earned.
    double earned_{};
    /// Retries left of the fixed number; negative before the first refill.
    double extra_left_{-1};
    instant refilled_at_{};
};

} // namespace quincewing
