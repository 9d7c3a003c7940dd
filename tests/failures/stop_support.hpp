#pragma once

#include "process_fleet.hpp"

#include "quincewing/base/time.hpp"

#include <cstddef>
#include <string>

namespace quincewing::testing {

/// Longest that a test of a stop waits for an answer.
constexpr millis longest_wait{6000};

void pause_for(millis it);

/// One host that leads one server, which runs one request at a time.
fleet_layout one_host(const std::string& stop_within);

/// Path of a request whose work at the server takes this long.
std::string work_of(const std::string& boat, millis it);

/// How often servers ran requests for this path.
std::size_t runs_of(const process_fleet& fleet, const std::string& path);

} // namespace quincewing::testing
