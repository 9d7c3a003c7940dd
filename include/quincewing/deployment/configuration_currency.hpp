#pragma once

#include "quincewing/base/time.hpp"
#include "quincewing/routing/configuration.hpp"

#include <optional>

namespace quincewing {

/// What this host knows of whether its configuration is still in force. Versions that an operator
/// writes count from the store's acknowledgement, so that a version was in force at the moment at
/// which somebody began a read of the store that showed no newer one. Does no I/O and reads no
/// clock.
class configuration_currency
{
public:
    /// This host applies this version from now on.
    void on_applied(config_version version);
    /// A read of the store that was sent at as_of, by this host or another, showed this version as
    /// the newest.
    void on_newest(instant now, config_version version, instant as_of);

    /// A newer version than the applied one exists.
    [[nodiscard]] bool behind() const { return newest_ > applied_; }
    /// Time since it is known that a newer version exists; zero if none is known.
    [[nodiscard]] duration behind_for(instant now) const;
    [[nodiscard]] config_version newest() const { return newest_; }
    /// The latest moment at which the applied version is known to have been in force.
    [[nodiscard]] instant in_force_at() const { return in_force_at_; }
    /// The applied version was in force within the last max_age.
    [[nodiscard]] bool current(instant now, duration max_age) const
    {
        return in_force_at_ != instant{} && now - in_force_at_ < max_age;
    }

private:
    config_version applied_;
    config_version newest_;
    /// When a read that showed the newest version was sent.
    instant newest_as_of_{};
    std::optional<instant> behind_since_;
    instant in_force_at_{};
};

} // namespace quincewing
