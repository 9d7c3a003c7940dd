#pragma once

#include "quincewing/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>

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

/// This host's part of the retry budget that all hosts share. Hosts do not coordinate: in each
/// window, a host may use the share that its own requests of that window earn and an equal part of
/// the fixed number.
class shared_retry_budget
{
public:
    /// started: when the process started. What an earlier process spent is not known, so that the
    /// fixed number is left alone for a window.
    explicit shared_retry_budget(shared_retry_budget_options options = {}, instant started = {})
        : options_(options), started_(started)
    {
    }

    void on_request(instant now);
    /// Whether one more retry may be sent; if so, it is deducted from the budget.
    /// hosts: all hosts of the fleet, whether or not they can be reached.
    bool try_spend(instant now, std::size_t hosts);

private:
    /// Requests of a fraction of the window.
    struct request_count
    {
        std::int64_t slice{};
        std::uint64_t requests{};
    };

    [[nodiscard]] std::int64_t slice_of(instant now) const;
    void forget_old(instant now);

    shared_retry_budget_options options_;
    instant started_;
    std::deque<request_count> counts_;
    std::uint64_t requests_{};
    /// When the retries of the last window were sent.
    std::deque<instant> retries_;
};

} // namespace quincewing
