#include "quincewing/routing/weighted_round_robin.hpp"

#include <algorithm>
#include <numeric>
#include <random>

namespace quincewing {

weighted_round_robin::weighted_round_robin(std::vector<std::uint32_t> weights, std::uint64_t seed)
    : weights_(std::move(weights)), credit_(weights_.size(), 0.0),
      total_(std::accumulate(weights_.begin(), weights_.end(), 0.0))
{
    std::minstd_rand random(static_cast<std::uint32_t>(seed ^ (seed >> 32U)));
    std::uniform_real_distribution<double> start{0, total_ > 0 ? total_ : 1};
    for (auto& credit : credit_) {
        credit = start(random);
    }
}

std::size_t weighted_round_robin::next()
{
    std::size_t best = 0;
    for (std::size_t i = 0; i < weights_.size(); ++i) {
        credit_[i] += weights_[i];
        const bool eligible = weights_[i] > 0 || total_ <= 0;
        if (eligible && (weights_[best] == 0 || credit_[i] > credit_[best])) {
            best = i;
        }
    }
    credit_[best] -= total_;
    return best;
}

} // namespace quincewing
