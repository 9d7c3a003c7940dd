#include "quincewing/http/status_line.hpp"

#include <algorithm>

namespace quincewing {

namespace {

bool is_digit(char c)
{
    return c >= '0' && c <= '9';
}

} // namespace

// Parsers differ in what they make of another number: some take the digits that they find, some
// wrap around.
bool is_status_line(std::string_view line)
{
    constexpr std::string_view protocol = "HTTP/1.";
    constexpr auto status_at = protocol.size() + 2;
    constexpr std::size_t status_digits = 3;
    if (!line.starts_with(protocol) || line.size() < status_at + status_digits) {
        return false;
    }
    const bool version = is_digit(line[protocol.size()]) && line[protocol.size() + 1] == ' ';
    const auto status = line.substr(status_at, status_digits);
    const auto rest = line.substr(status_at + status_digits);
    return version && std::all_of(status.begin(), status.end(), is_digit) && status[0] >= '1' &&
           status[0] <= '5' && (rest.empty() || rest[0] == ' ');
}

bool is_final_status(int status)
{
    constexpr int first = 200;
    constexpr int last = 599;
    return status >= first && status <= last;
}

} // namespace quincewing
