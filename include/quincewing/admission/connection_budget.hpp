#pragma once

#include "quincewing/admission/memory_usage.hpp"
#include "quincewing/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace quincewing {

struct connection_budget_options
{
    /// Descriptors of the process, and the share of them for callers' connections. The rest is a
    /// reserve for servers, store, peers and files.
    std::uint64_t descriptors{1024};
    double caller_share{0.6};
    /// Part of the limit that is freed at a time, since a choice looks at all connections.
    double freed_share{1.0 / 16};
    /// Least time between two choices.
    duration choice_interval{millis{20}};
    /// An unfinished head is given up from this age on when descriptors are short.
    duration unfinished_head_time{seconds{1}};
};

/// A connection without a request that was received or is being handled.
struct quiet_connection
{
    memory_holder id;
    /// Since its last request, or since its unfinished head began.
    instant since{};
    bool unfinished_head{};
};

/// Bounds the descriptors that callers' connections take.
class connection_budget
{
public:
    explicit connection_budget(connection_budget_options options = {}) : options_(options) {}

    [[nodiscard]] std::size_t limit() const;
    [[nodiscard]] bool full(std::size_t connections) const { return connections >= limit(); }
    /// Whether choose() may be asked now.
    bool may_choose(instant now);
    /// Connections to close for new ones, those that were quiet longest first.
    [[nodiscard]] std::vector<memory_holder> choose(instant now,
                                                    std::vector<quiet_connection> quiet) const;

private:
    connection_budget_options options_;
    instant next_choice_{};
};

} // namespace quincewing
