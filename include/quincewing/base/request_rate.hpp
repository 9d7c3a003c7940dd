#pragma once

#include "quincewing/base/strong.hpp"

namespace quincewing {

/// Requests per second.
using request_rate = strong<struct request_rate_tag, double>;

} // namespace quincewing
