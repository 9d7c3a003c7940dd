#pragma once

#include "quincewing/base/time.hpp"

namespace quincewing {

/// When callers may come again whose request has no server that could run it.
constexpr millis no_route_retry_after{1000};

} // namespace quincewing
