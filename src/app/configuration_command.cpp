#include "configuration_command.hpp"

#include "quincewing/deployment/configuration_document.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>

namespace quincewing {

namespace {

constexpr int has_findings = 1;
constexpr int unreadable = 2;

std::optional<configuration_document> read_document(const std::string& file)
{
    std::ifstream in{file};
    std::ostringstream text;
    text << in.rdbuf();
    // An empty file sets the failbit of the text, a directory its badbit.
    if (!in.is_open() || text.bad()) {
        std::cerr << "quincewing: '" << file << "' cannot be read\n";
        return std::nullopt;
    }
    return configuration_document{.file = file, .text = text.str()};
}

/// One line: names in a document may hold any character.
std::string one_line(const std::string& text)
{
    constexpr unsigned char first_visible = 0x20;
    constexpr unsigned char del = 0x7f;
    std::string out;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (byte >= first_visible && byte != del) {
            out += c;
            continue;
        }
        std::array<char, sizeof "\\x00"> escaped{};
        std::snprintf(escaped.data(), escaped.size(), "\\x%02x", byte);
        out += escaped.data();
    }
    return out;
}

void print_lines(const std::vector<document_finding>& findings)
{
    for (const auto& it : findings) {
        std::string line = it.file + ": ";
        line += it.location.empty() ? "" : it.location + ": ";
        line += std::string{to_string(it.severity)} + ": " + it.what;
        line += it.why.empty() ? "" : "; " + it.why;
        std::cout << one_line(line) << "\n";
    }
}

void print_json(const std::vector<document_finding>& findings)
{
    auto out = nlohmann::json::array();
    for (const auto& it : findings) {
        out.push_back({{"file", it.file},
                       {"location", it.location},
                       {"severity", to_string(it.severity)},
                       {"what", it.what},
                       {"why", it.why}});
    }
    // The name of a file, or what the parser quotes, may not be UTF-8.
    constexpr int indent = 2;
    std::cout << out.dump(indent, ' ', false, nlohmann::json::error_handler_t::replace) << "\n";
}

} // namespace

int check_configuration(const command_line& line)
{
    if (line.words.size() != 1) {
        std::cerr << "quincewing: check-configuration needs one file; see --help\n";
        return unreadable;
    }
    const auto next = read_document(line.words.front());
    const auto in_force = line.against.empty() ? std::nullopt : read_document(line.against);
    if (!next || (!line.against.empty() && !in_force)) {
        return unreadable;
    }
    const auto result = check_configuration_document(*next, in_force);
    if (line.json) {
        print_json(result.findings);
    } else {
        print_lines(result.findings);
    }
    if (result.not_json) {
        return unreadable;
    }
    const bool found =
        std::any_of(result.findings.begin(), result.findings.end(),
                    [](const auto& it) { return it.severity != finding_severity::change; });
    return found ? has_findings : 0;
}

} // namespace quincewing
