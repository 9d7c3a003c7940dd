#pragma once

#include "command_line.hpp"

#include <string>

namespace quincewing {

/// Whether the file holds settings of an entry host whose deployment lives in the platform's store.
bool is_entry_settings_file(const std::string& path);

/// Both return the process's exit status.
int check_entry(const command_line& line);
int serve_entry(const command_line& line);

} // namespace quincewing
