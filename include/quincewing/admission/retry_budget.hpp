#pragma once

#include <algorithm>

namespace quincewing {

struct retry_budget_options
{
    /// Retries allowed for each success.
    double retries_per_success{0.1};
    double max_retries{20};
};

/// Retries come out of a share of successes, so that they cannot multiply a failure.
class retry_budget
{
public:
    explicit retry_budget(retry_budget_options options = {})
        : options_(options), left_(options.max_retries)
    {
    }

    void on_success()
    {
        left_ = std::min(options_.max_retries, left_ + options_.retries_per_success);
    }
    /// Whether one more retry may be sent; counts it.
    bool try_spend()
    {
        if (left_ < 1) {
            return false;
        }
        left_ -= 1;
        return true;
    }

private:
    retry_budget_options options_;
    double left_;
};

} // namespace quincewing
