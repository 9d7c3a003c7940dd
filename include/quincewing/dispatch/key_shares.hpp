#pragma once

#include "quincewing/base/request_rate.hpp"
#include "quincewing/base/time.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace quincewing {

/// Max-min fair shares of a server's completions between its keys: a key that asks for more than
/// the server gives does not keep it from its other keys. Reads no clock.
class key_shares
{
public:
    /// Counts decay with this time constant.
    explicit key_shares(duration time_constant = millis{400}) : time_constant_(time_constant) {}

    void on_submitted(instant now, std::uint16_t key);
    void on_granted(instant now, std::uint16_t key);
    /// Computes the shares anew, at most ten times a second.
    void update(instant now, request_rate capacity);

    /// The key has had its share, and the server has other keys to serve.
    [[nodiscard]] bool above_share(std::uint16_t key) const;
    /// Rate at which the other keys ask, as far as they are within their share.
    [[nodiscard]] request_rate rate_of_others(std::uint16_t key) const;

private:
    struct counts
    {
        double submitted{};
        double granted{};
    };

    void decay(instant now);

    duration time_constant_;
    instant decayed_at_{};
    instant updated_at_{};
    std::map<std::uint16_t, counts> keys_;
    /// The most that a key gets, as a decayed count; empty while all get what they ask for.
    std::optional<double> level_;
};

} // namespace quincewing
