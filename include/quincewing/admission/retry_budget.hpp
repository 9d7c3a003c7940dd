#pragma once

#include <algorithm>

namespace quincewing {

struct retry_budget_options
{
    /// Retries allowed for each success.
    double share{0.1};
    double most{20};
};

/// Retries come out of a share of successes, so that they cannot multiply a failure.
class retry_budget
{
public:
    explicit retry_budget(retry_budget_options options = {})
        : options_(options), left_(options.most)
    {
    }

    void on_success() { left_ = std::min(options_.most, left_ + options_.share); }
    /// Whether one more retry may be sent; counts it.
    bool take()
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
