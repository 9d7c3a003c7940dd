#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace quincewing {

/// What the command line asks for.
struct command_line
{
    std::string command;
    std::string settings;
    /// Operators' address of a host.
    std::string at;
    std::string operator_name;
    /// File of the configuration in force; empty: none.
    std::string against;
    /// Print findings as JSON.
    bool json{};
    /// Words after the command, such as an intent and its values.
    std::vector<std::string> words;
};

/// Takes the arguments apart; prints help, version or what is wrong. Nothing: end with status.
std::optional<command_line> read_command_line(int argc, char** argv, int& status);

} // namespace quincewing
