#pragma once

#include "quincewing/base/time.hpp"

#include <cstdint>
#include <map>

namespace quincewing {

struct fair_share_options
{
    /// Time constant of the exponential decay by which older requests count less.
    duration decay_time{seconds{4}};
    /// Requests that each class is assumed to have submitted, of which it got the share of all
    /// classes, so that its first real ones change the share little.
    double prior_count{3};
    /// How much smaller the granted share may get with each step of lower urgency.
    double share_step_per_priority{0.04};
};

/// Tracks which share of each traffic class got a slot recently, to divide the slots when there
/// are too few. The class that is furthest behind goes next; more urgent classes get a slightly
/// larger share, and none is starved.
class fair_share_tracker
{
public:
    explicit fair_share_tracker(fair_share_options options = {}) : options_(options) {}

    void on_submitted(instant now, std::uint64_t traffic_class);
    void on_granted(instant now, std::uint64_t traffic_class);
    /// The share of its requests that got a slot, 0 to 1.
    [[nodiscard]] double share(std::uint64_t traffic_class) const;
    /// Share of the requests of all classes that got a slot; 1 before the first.
    [[nodiscard]] double overall_share() const;
    /// The class with the lowest score goes first.
    [[nodiscard]] double score(std::uint64_t traffic_class, std::uint32_t priority) const;

private:
    struct counts
    {
        double submitted{};
        double granted{};
    };

    void decay(instant now);

    fair_share_options options_;
    instant decayed_at_{};
    std::map<std::uint64_t, counts> classes_;
};

} // namespace quincewing
