#pragma once

#include "quincewing/base/time.hpp"

#include <cstdint>
#include <map>

namespace quincewing {

struct kind_shares_options
{
    /// Older requests count less, over about this time.
    duration memory{seconds{4}};
    /// Requests of a kind that are assumed to have been served, so that the first ones decide
    /// little.
    double assumed{3};
    /// A kind that is less urgent by one rank may be served this much less often.
    double less_each_rank{0.04};
};

/// How large a share of each kind of requests was served lately, where there is not room for all.
/// The kind that fell behind the most goes next: the more urgent ones lead by a little, and none
/// is starved.
class kind_shares
{
public:
    explicit kind_shares(kind_shares_options options = {}) : options_(options) {}

    void on_asked(instant now, std::uint64_t kind);
    void on_served(instant now, std::uint64_t kind);
    /// The least goes first.
    [[nodiscard]] double standing(std::uint64_t kind, std::uint32_t priority) const;

private:
    struct counts
    {
        double asked{};
        double served{};
    };

    void age(instant now);

    kind_shares_options options_;
    instant aged_{};
    std::map<std::uint64_t, counts> kinds_;
};

} // namespace quincewing
