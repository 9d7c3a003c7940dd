#include "quincewing/deployment/host_record.hpp"

#include <cstdlib>

namespace quincewing {

namespace {

constexpr std::string_view cores_field = " cores=";
// More than one machine has.
constexpr double max_cores = 65'536;

} // namespace

std::string format_host_record(const host_record& it)
{
    if (it.cores <= 0) {
        return it.host.value;
    }
    return it.host.value + std::string{cores_field} + std::to_string(it.cores);
}

host_record parse_host_record(std::string_view text)
{
    host_record out{.host = host_id{std::string{text.substr(0, text.find(' '))}}};
    const auto at = text.find(cores_field);
    if (at != std::string_view::npos) {
        const std::string number{text.substr(at + cores_field.size())};
        const auto cores = std::strtod(number.c_str(), nullptr);
        // False for what is no number, too.
        out.cores = cores > 0 && cores <= max_cores ? cores : 0;
    }
    return out;
}

} // namespace quincewing
