#include "quincewing/metrics/histogram.hpp"

#include <algorithm>
#include <cmath>

namespace quincewing {

namespace acc = boost::accumulators;

void histogram::add(double seconds)
{
    totals_(seconds);
    const auto steps = std::ceil(std::log2(std::max(seconds, first_bound) / first_bound));
    const auto bucket = static_cast<std::size_t>(steps);
    if (bucket < bucket_count) {
        ++buckets_[bucket];
    }
}

std::uint64_t histogram::count() const
{
    return acc::count(totals_);
}

double histogram::sum() const
{
    return acc::sum(totals_);
}

double histogram::max() const
{
    return count() == 0 ? 0.0 : acc::max(totals_);
}

std::uint64_t histogram::cumulative(std::size_t bucket) const
{
    std::uint64_t n = 0;
    for (std::size_t i = 0; i <= bucket; ++i) {
        n += buckets_[i];
    }
    return n;
}

double histogram::bound(std::size_t bucket)
{
    return std::ldexp(first_bound, static_cast<int>(bucket));
}

} // namespace quincewing
