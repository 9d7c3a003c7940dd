#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace quincewing {

/// Smooth weighted round robin: picks in proportion to the weights, and evenly over any short run
/// of picks.
class weighted_round_robin
{
public:
    weighted_round_robin() = default;
    /// The seed varies the start of the cycle, so that hosts do not pick in lockstep.
    weighted_round_robin(std::vector<std::uint32_t> weights, std::uint64_t seed);

    /// Index of the weight that is picked next. The weights must not be empty.
    std::size_t next();
    [[nodiscard]] const std::vector<std::uint32_t>& weights() const { return weights_; }

private:
    std::vector<std::uint32_t> weights_;
    std::vector<double> credit_;
    double total_{};
};

} // namespace quincewing
