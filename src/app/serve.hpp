#pragma once

#include "command_line.hpp"

namespace quincewing {

/// Checks the settings and prints everything that is wrong. Returns the exit status.
int check(const command_line& line);
/// Runs an entry host until it is told to stop. Returns the exit status.
int serve(const command_line& line);

} // namespace quincewing
