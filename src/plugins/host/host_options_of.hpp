#pragma once

#include "quincewing/control/host_core.hpp"
#include "quincewing/settings/host_settings.hpp"

namespace quincewing {

/// The settings as the decisions take them.
host_options host_options_of(const host_settings& settings, const host_id& self);

} // namespace quincewing
