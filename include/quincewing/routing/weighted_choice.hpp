#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace quincewing {

/// Picks among shares in proportion to their weights, evenly in every short span (smooth weighted
/// round robin).
class weighted_choice
{
public:
    weighted_choice() = default;
    /// The seed shifts where the cycle begins, so that many hosts do not pick in step.
    weighted_choice(std::vector<std::uint32_t> weights, std::uint64_t seed);

    /// Index of the share that takes the next request. The weights must not be empty.
    std::size_t next();
    [[nodiscard]] const std::vector<std::uint32_t>& weights() const { return weights_; }

private:
    std::vector<std::uint32_t> weights_;
    std::vector<double> credit_;
    double total_{};
};

} // namespace quincewing
