#pragma once

#include <string>

namespace quincewing {

/// One thing wrong in a settings file.
struct settings_error
{
    std::string file;
    std::string section;
    std::string key;
    std::string what;
    /// What would be right.
    std::string expected;

    /// "file: [section] key: what is wrong, what is expected"
    [[nodiscard]] std::string to_string() const;
};

} // namespace quincewing
