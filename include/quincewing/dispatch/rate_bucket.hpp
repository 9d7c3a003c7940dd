#pragma once

#include "quincewing/base/request_rate.hpp"
#include "quincewing/base/time.hpp"

namespace quincewing {

/// Token bucket: allows requests at a rate, and after a pause a few at once. It begins empty.
class rate_bucket
{
public:
    explicit rate_bucket(instant now) : filled_at_(now) {}

    /// A rate of 0 allows no request.
    void set_rate(instant now, request_rate rate);
    [[nodiscard]] request_rate rate() const { return rate_; }
    /// Time until a request is allowed; zero: now.
    [[nodiscard]] duration wait(instant now) const;
    /// Counts a request.
    void take(instant now);

private:
    [[nodiscard]] double tokens_at(instant now) const;

    request_rate rate_;
    double tokens_{};
    instant filled_at_;
};

} // namespace quincewing
