#include "quincewing/settings/settings_file.hpp"

#include <arpa/inet.h>
#include <charconv>
#include <ini.h>

namespace quincewing {

namespace {

struct unit
{
    std::string_view suffix;
    std::uint64_t factor;
};

constexpr unit time_units[] = {
    {"us", 1}, {"ms", 1'000}, {"s", 1'000'000}, {"m", 60'000'000}, {"h", 3'600'000'000}};
constexpr unit size_units[] = {{"", 1}, {"KiB", 1024}, {"MiB", 1024UL * 1024}};

std::string trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    const auto last = text.find_last_not_of(" \t");
    return std::string{text.substr(first, last - first + 1)};
}

template <class Units>
std::optional<std::uint64_t> with_unit(const std::string& text, const Units& units)
{
    std::uint64_t n = 0;
    const auto* end = text.data() + text.size();
    const auto [rest, ec] = std::from_chars(text.data(), end, n);
    if (ec != std::errc{}) {
        return {};
    }
    const std::string_view suffix{rest, static_cast<std::size_t>(end - rest)};
    for (const auto& it : units) {
        if (it.suffix == suffix) {
            return n * it.factor;
        }
    }
    return {};
}

std::string show(duration it)
{
    const auto n = it.count();
    if (n % 1'000'000 == 0) {
        return std::to_string(n / 1'000'000) + "s";
    }
    return n % 1'000 == 0 ? std::to_string(n / 1'000) + "ms" : std::to_string(n) + "us";
}

template <class T>
std::string range(const T& least, const T& most)
{
    return std::to_string(least) + " to " + std::to_string(most);
}

} // namespace

std::string settings_error::to_string() const
{
    auto out = file + ": [" + section + "] ";
    if (!key.empty()) {
        out += key + ": ";
    }
    return out + what + ", expected " + expected;
}

settings_file::settings_file(std::string name, const std::string& text) : name_(std::move(name))
{
    const auto handler = [](void* self, const char* section, const char* key,
                            const char* value) -> int {
        auto& file = *static_cast<settings_file*>(self);
        auto& keys = file.sections_[section];
        if (key == nullptr) {
            return 1;
        }
        if (!keys.emplace(key, value).second) {
            file.add_error(section, key, "given twice", "one line");
        }
        return 1;
    };
    const int line = ini_parse_string(text.c_str(), handler, this);
    if (line != 0) {
        add_error("", "", "line " + std::to_string(line) + " is not readable",
                  "[section] or key = value");
    }
    if (text.empty()) {
        add_error("", "", "the file is empty or cannot be read", "settings");
    }
}

std::vector<std::string> settings_file::named(std::string_view kind) const
{
    std::vector<std::string> out;
    const auto prefix = std::string{kind} + " ";
    for (const auto& [section, keys] : sections_) {
        if (section.starts_with(prefix)) {
            out.push_back(section.substr(prefix.size()));
        }
    }
    return out;
}

std::optional<std::string> settings_file::find(const std::string& section, const std::string& key)
{
    asked_.insert({section, key});
    known_sections_.insert(section);
    const auto found = sections_.find(section);
    if (found == sections_.end()) {
        return {};
    }
    const auto it = found->second.find(key);
    return it == found->second.end() ? std::nullopt : std::optional{it->second};
}

void settings_file::get(const std::string& section, const std::string& key, std::string& to)
{
    const auto it = find(section, key);
    if (!it) {
        return;
    }
    if (it->empty()) {
        add_error(section, key, "is empty", "a value");
        return;
    }
    to = *it;
}

void settings_file::get(const std::string& section, const std::string& key, bool& to)
{
    const auto it = find(section, key);
    if (!it) {
        return;
    }
    if (*it != "true" && *it != "false") {
        add_error(section, key, "'" + *it + "' is not a truth value", "true or false");
        return;
    }
    to = *it == "true";
}

void settings_file::get(const std::string& section, const std::string& key, double& to,
                        double least, double most)
{
    const auto it = find(section, key);
    if (!it) {
        return;
    }
    double n = 0;
    const auto [rest, ec] = std::from_chars(it->data(), it->data() + it->size(), n);
    if (ec != std::errc{} || rest != it->data() + it->size() || !(n >= least && n <= most)) {
        add_error(section, key, "'" + *it + "' is not in range", range(least, most));
        return;
    }
    to = n;
}

void settings_file::get(const std::string& section, const std::string& key, std::uint64_t& to,
                        std::uint64_t least, std::uint64_t most)
{
    const auto it = find(section, key);
    if (!it) {
        return;
    }
    std::uint64_t n = 0;
    const auto [rest, ec] = std::from_chars(it->data(), it->data() + it->size(), n);
    if (ec != std::errc{} || rest != it->data() + it->size() || n < least || n > most) {
        add_error(section, key, "'" + *it + "' is not in range", "a number, " + range(least, most));
        return;
    }
    to = n;
}

void settings_file::get(const std::string& section, const std::string& key, duration& to,
                        duration least, duration most)
{
    const auto it = find(section, key);
    if (!it) {
        return;
    }
    const auto n = with_unit(*it, time_units);
    const auto value = duration{static_cast<duration::rep>(n.value_or(0))};
    if (!n || value < least || value > most) {
        add_error(section, key, "'" + *it + "' is not a time in range",
                  show(least) + " to " + show(most) + " with a unit (us, ms, s, m, h)");
        return;
    }
    to = value;
}

void settings_file::get_bytes(const std::string& section, const std::string& key, std::uint64_t& to,
                              std::uint64_t least, std::uint64_t most)
{
    const auto it = find(section, key);
    if (!it) {
        return;
    }
    const auto n = with_unit(*it, size_units);
    if (!n || *n < least || *n > most) {
        add_error(section, key, "'" + *it + "' is not a size in range",
                  range(least, most) + " bytes, with a unit (none, KiB, MiB)");
        return;
    }
    to = *n;
}

void settings_file::get_address(const std::string& section, const std::string& key, std::string& to)
{
    const auto it = find(section, key);
    if (!it) {
        return;
    }
    if (!is_address(*it)) {
        add_error(section, key, "'" + *it + "' is not an address",
                  "ip:port, such as 10.0.0.1:7000");
        return;
    }
    to = *it;
}

void settings_file::get_list(const std::string& section, const std::string& key,
                             std::vector<std::string>& to)
{
    const auto it = find(section, key);
    if (!it) {
        return;
    }
    to.clear();
    std::size_t from = 0;
    while (from <= it->size()) {
        const auto end = std::min(it->find(',', from), it->size());
        auto item = trimmed(std::string_view{*it}.substr(from, end - from));
        if (!item.empty()) {
            to.push_back(std::move(item));
        }
        from = end + 1;
    }
}

void settings_file::require(const std::string& section, const std::string& key)
{
    if (!find(section, key)) {
        add_error(section, key, "is missing", "a value");
    }
}

void settings_file::add_error(const std::string& section, const std::string& key, std::string what,
                              std::string expected)
{
    errors_.push_back({.file = name_,
                       .section = section,
                       .key = key,
                       .what = std::move(what),
                       .expected = std::move(expected)});
}

std::vector<settings_error> settings_file::errors() const
{
    auto out = errors_;
    for (const auto& [section, keys] : sections_) {
        if (!known_sections_.contains(section)) {
            out.push_back({name_, section, "", "is no section that is known",
                           "a section of docs/SETTINGS.md"});
            continue;
        }
        for (const auto& [key, value] : keys) {
            if (!asked_.contains({section, key})) {
                out.push_back({name_, section, key, "is not known", "a key of docs/SETTINGS.md"});
            }
        }
    }
    return out;
}

bool is_address(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return false;
    }
    in_addr parsed{};
    unsigned port = 0;
    const auto* end = text.data() + text.size();
    const auto [rest, ec] = std::from_chars(text.data() + colon + 1, end, port);
    return inet_pton(AF_INET, text.substr(0, colon).c_str(), &parsed) == 1 && ec == std::errc{} &&
           rest == end && port > 0 && port < 65536;
}

} // namespace quincewing
