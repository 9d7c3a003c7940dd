#pragma once

#include "command_line.hpp"

namespace quincewing {

/// Checks the operators' configuration in a file, and compares it with the one in force if that is
/// given. Returns the exit status: 0, no errors or warnings (changes do not count); 1, errors or
/// warnings; 2, wrong usage, or a file can't be read or is not JSON.
int check_configuration(const command_line& line);

} // namespace quincewing
