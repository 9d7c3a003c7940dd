#include "quincewing/http/message_head.hpp"

#include "quincewing/http/status_line.hpp"

#include <algorithm>
#include <cctype>

namespace quincewing {

namespace {

bool is_token(std::string_view text)
{
    constexpr std::string_view punctuation = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [&](unsigned char c) {
        return std::isalnum(c) != 0 ||
               punctuation.find(static_cast<char>(c)) != std::string_view::npos;
    });
}

bool is_field_value(std::string_view text)
{
    return std::none_of(text.begin(), text.end(),
                        [](unsigned char c) { return (c < 0x20 && c != '\t') || c == 0x7f; });
}

bool is_request_line(std::string_view line)
{
    const auto first_space = line.find(' ');
    const auto last_space = line.rfind(' ');
    if (first_space == std::string_view::npos || first_space == last_space) {
        return false;
    }
    const auto target = line.substr(first_space + 1, last_space - first_space - 1);
    const auto version = line.substr(last_space + 1);
    const bool printable = std::all_of(target.begin(), target.end(),
                                       [](unsigned char c) { return c > 0x20 && c != 0x7f; });
    return is_token(line.substr(0, first_space)) && !target.empty() && printable &&
           (version == "HTTP/1.1" || version == "HTTP/1.0");
}

bool is_header_line(std::string_view line)
{
    const auto colon = line.find(':');
    return colon != std::string_view::npos && is_token(line.substr(0, colon)) &&
           is_field_value(line.substr(colon + 1));
}

} // namespace

// If this host and a backend server parse a head differently, a caller can hide a second request
// in the first (request smuggling). Ambiguous heads are therefore rejected.
bool is_strict_head(std::string_view head, bool request)
{
    bool first = true;
    while (!head.empty()) {
        const auto end = head.find("\r\n");
        if (end == std::string_view::npos) {
            return false;
        }
        const auto line = head.substr(0, end);
        head.remove_prefix(end + 2);
        if (first) {
            if (!(request ? is_request_line(line) : is_status_line(line) && is_field_value(line))) {
                return false;
            }
            first = false;
            continue;
        }
        if (line.empty()) {
            return head.empty();
        }
        if (!is_header_line(line)) {
            return false;
        }
    }
    return false;
}

} // namespace quincewing
