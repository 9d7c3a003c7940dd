#pragma once

#include "quincewing/routing/configuration.hpp"

#include <string>

namespace quincewing {

/// "1500 ms" or "0.5 ms"
std::string milliseconds_text(duration it);
/// "5" or "0.05"
std::string number_text(double it);
/// "NAME (host/prefix/)", or "host/prefix/" of a route without a name
std::string route_text(const route& it);

} // namespace quincewing
