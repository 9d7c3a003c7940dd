#pragma once

#include "command_line.hpp"

namespace quincewing {

/// status, plan, confirm and explain: asks a host and prints its answer. Returns the exit status.
int run_operator_command(const command_line& line);

} // namespace quincewing
