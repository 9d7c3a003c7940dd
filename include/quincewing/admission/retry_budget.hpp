#pragma once

#include <algorithm>

namespace quincewing {

struct retry_budget_options
{
    /// Retries earned by each success.
    double retries_per_success{0.1};
    /// Initial and largest balance, in retries.
    double max_retries{20};
};

/// Limits retries to a fraction of the successful requests, so that they cannot amplify an outage.
class retry_budget
{
public:
    explicit retry_budget(retry_budget_options options = {})
        : options_(options), balance_(options.max_retries)
    {
    }

    void on_success()
    {
        balance_ = std::min(options_.max_retries, balance_ + options_.retries_per_success);
    }
    /// Spends one retry from the budget; false when none is left.
    bool try_spend()
    {
        if (balance_ < 1) {
            return false;
        }
        balance_ -= 1;
        return true;
    }

private:
    retry_budget_options options_;
    double balance_;
};

} // namespace quincewing
