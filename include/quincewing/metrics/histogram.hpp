#pragma once

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstddef>
#include <cstdint>

namespace quincewing {

/// Times in seconds, by buckets whose bounds double.
class histogram
{
public:
    static constexpr std::size_t bucket_count = 18;
    /// Upper bound of the first bucket, in seconds.
    static constexpr double first_bound = 0.0001;

    void add(double seconds);

    [[nodiscard]] std::uint64_t count() const;
    [[nodiscard]] double sum() const;
    [[nodiscard]] double max() const;
    /// Values at most the bound of this bucket, those below it included.
    [[nodiscard]] std::uint64_t cumulative(std::size_t bucket) const;
    [[nodiscard]] static double bound(std::size_t bucket);

private:
    using accumulator = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum,
                                   boost::accumulators::tag::max>>;
    accumulator totals_;
    std::array<std::uint64_t, bucket_count> buckets_{};
};

} // namespace quincewing
