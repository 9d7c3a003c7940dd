#pragma once

#include "quincewing/routing/configuration.hpp"
#include "quincewing/routing/configuration_finding.hpp"

#include <vector>

namespace quincewing {

/// Finds what can't be in force, can never match, or contradicts itself: the version first, then
/// routes, services and limits.
std::vector<configuration_finding> check_configuration(const configuration& it);

/// An error if hosts ignore the next version, and all differences between the two.
std::vector<configuration_finding> compare_configurations(const configuration& in_force,
                                                          const configuration& next);

} // namespace quincewing
