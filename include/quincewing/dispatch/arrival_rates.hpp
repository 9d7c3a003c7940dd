#pragma once

#include "quincewing/base/request_rate.hpp"
#include "quincewing/dispatch/waiting_request.hpp"

#include <compare>
#include <cstdint>
#include <functional>
#include <map>

namespace quincewing {

/// Rates at which requests of each rank arrive: those that go before a waiting request take slots
/// that it would get, and while they come as fast as the servers complete, it waits in vain.
class arrival_rates
{
public:
    /// Counts decay with this time constant.
    explicit arrival_rates(duration time_constant = millis{1000}) : time_constant_(time_constant) {}

    void on_submitted(instant now, const flow_id& flow);
    /// Rate of all arrivals.
    [[nodiscard]] request_rate rate(instant now) const;
    /// Rate of the arrivals that go before requests of the flow: the more urgent ones that can be
    /// in time, and, if it is tight itself, all that can.
    [[nodiscard]] request_rate rate_before(instant now, const flow_id& flow) const;
    /// Rate of the arrivals that go behind requests of the flow.
    [[nodiscard]] request_rate rate_behind(instant now, const flow_id& flow) const;
    /// Requests of different priority arrived shortly ago, so that they compete.
    [[nodiscard]] bool several_priorities(instant now) const;

private:
    struct rank
    {
        bool tight{};
        std::uint32_t priority{};

        auto operator<=>(const rank&) const = default;
    };

    [[nodiscard]] request_rate rate_if(instant now,
                                       const std::function<bool(const rank&)>& wanted) const;
    [[nodiscard]] double factor(instant now) const;

    duration time_constant_;
    instant decayed_at_{};
    std::map<rank, double> counts_;
    /// When a request of a priority arrived last.
    std::map<std::uint32_t, instant> last_arrival_;
};

} // namespace quincewing
