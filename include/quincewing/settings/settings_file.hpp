#pragma once

#include "quincewing/base/time.hpp"
#include "quincewing/settings/settings_error.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace quincewing {

/// An INI file as sections of keys. Getters note what is wrong and what was asked for, so that
/// errors() can also name the keys that nobody knows.
class settings_file
{
public:
    /// Reads the text of a file; name is used in errors.
    settings_file(std::string name, const std::string& text);

    /// Names of the sections "kind NAME", without the kind.
    [[nodiscard]] std::vector<std::string> named(std::string_view kind) const;
    [[nodiscard]] bool has(const std::string& section) const { return sections_.contains(section); }
    /// Marks a section as known even when none of its keys is asked for.
    void expect_section(const std::string& section) { known_sections_.insert(section); }

    /// Each takes the value into `to` when the key is present and right, and leaves it otherwise.
    void get(const std::string& section, const std::string& key, std::string& to);
    void get(const std::string& section, const std::string& key, bool& to);
    void get(const std::string& section, const std::string& key, double& to, double least,
             double most);
    void get(const std::string& section, const std::string& key, std::uint64_t& to,
             std::uint64_t least, std::uint64_t most);
    /// A time with its unit: 250ms, 2s, 10m, 1h, 50us.
    void get(const std::string& section, const std::string& key, duration& to, duration least,
             duration most);
    /// A size with its unit: 512, 64KiB, 1MiB.
    void get_bytes(const std::string& section, const std::string& key, std::uint64_t& to,
                   std::uint64_t least, std::uint64_t most);
    /// "ip:port", IPv4.
    void get_address(const std::string& section, const std::string& key, std::string& to);
    /// Items separated by commas.
    void get_list(const std::string& section, const std::string& key, std::vector<std::string>& to);
    void require(const std::string& section, const std::string& key);

    void add_error(const std::string& section, const std::string& key, std::string what,
                   std::string expected);
    /// Everything wrong, unknown sections and keys included.
    [[nodiscard]] std::vector<settings_error> errors() const;

private:
    [[nodiscard]] std::optional<std::string> find(const std::string& section,
                                                  const std::string& key);

    std::string name_;
    std::map<std::string, std::map<std::string, std::string>> sections_;
    std::set<std::pair<std::string, std::string>> asked_;
    std::set<std::string> known_sections_;
    std::vector<settings_error> errors_;
};

/// Whether the text is "ip:port" with an IPv4 address.
bool is_address(const std::string& text);

} // namespace quincewing
