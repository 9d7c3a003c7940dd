#pragma once

#include "quincewing/base/time.hpp"

#include <algorithm>
#include <deque>

namespace quincewing {

/// The largest delay of the loop's ticks in the last second.
class loop_delays
{
public:
    void note(instant now, duration late)
    {
        std::erase_if(ticks_, [&](const tick& it) { return it.at < now - window; });
        ticks_.push_back({.at = now, .late = late});
    }

    [[nodiscard]] duration largest() const
    {
        duration out{};
        for (const auto& it : ticks_) {
            out = std::max(out, it.late);
        }
        return out;
    }

private:
    struct tick
    {
        instant at;
        duration late{};
    };

    static constexpr seconds window{1};

    std::deque<tick> ticks_;
};

} // namespace quincewing
