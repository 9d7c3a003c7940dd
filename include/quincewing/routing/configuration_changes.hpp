#pragma once

#include "quincewing/routing/configuration.hpp"

#include <optional>
#include <vector>

namespace quincewing {

/// Identifies a route within a configuration.
struct route_id
{
    std::string host;
    std::string path_prefix;

    auto operator<=>(const route_id&) const = default;
    template <class F>
    void each_field(F&& f)
    {
        f(host);
        f(path_prefix);
    }
};

/// The changes that turn an earlier configuration into a later one. From version 0, which has
/// nothing, they are the later one whole.
struct configuration_changes
{
    config_version from;
    config_version version;
    std::vector<route_id> removed;
    /// Routes that are new or different.
    std::vector<route> changed;
    /// Missing: as before.
    std::optional<std::map<service_id, service_configuration>> services;
    std::optional<caller_limits> limits;

    template <class F>
    void each_field(F&& f)
    {
        f(from);
        f(version);
        f(removed);
        f(changed);
        f(services);
        f(limits);
    }
};

configuration_changes difference(const configuration& from, const configuration& to);
/// The later configuration. The earlier one must have the version that the changes start from.
configuration apply_configuration_changes(const configuration& from,
                                          const configuration_changes& changes);

} // namespace quincewing
