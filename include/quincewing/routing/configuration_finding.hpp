#pragma once

#include "quincewing/base/ids.hpp"

#include <cstddef>
#include <cstdint>
#include <string>

namespace quincewing {

enum class finding_severity : std::uint8_t
{
    /// Hosts do not take the configuration as it is written, or can serve no request of a route.
    error,
    /// Hosts do what it says, which is hardly what was meant.
    warning,
    /// A difference from the version in force.
    change
};

const char* to_string(finding_severity it);

/// The part of a configuration that a finding is about.
enum class configuration_member : std::uint8_t
{
    version,
    route,
    route_name,
    route_path_prefix,
    route_retry,
    route_timeout,
    route_latency_objective,
    route_priority,
    route_max_servers,
    route_shares,
    service,
    service_max_connections,
    service_keyed,
    service_warm_up_rate,
    limit_head_bytes,
    limit_body_bytes,
    limit_head_timeout,
    limit_idle_timeout
};

/// The member of a configuration that a finding refers to.
struct configuration_place
{
    configuration_member member{};
    /// Index in the configuration's routes, for members of a route.
    std::size_t route{};
    /// For members of a service.
    service_id service;
    /// The place is in the version in force, not in the one that is checked.
    bool in_force{};

    bool operator==(const configuration_place&) const = default;
};

/// A fault in a configuration, or a difference from the one in force.
struct configuration_finding
{
    finding_severity severity{};
    configuration_place place;
    std::string what;
    /// Why it matters; empty for a change.
    std::string why;
};

} // namespace quincewing
