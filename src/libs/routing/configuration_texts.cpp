#include "configuration_texts.hpp"

#include "quincewing/routing/configuration_finding.hpp"

#include <sstream>

namespace quincewing {

const char* to_string(finding_severity it)
{
    switch (it) {
    case finding_severity::error:
        return "error";
    case finding_severity::warning:
        return "warning";
    case finding_severity::change:
        return "change";
    }
    return "";
}

std::string number_text(double it)
{
    // As many digits as keep a year in microseconds apart from the next.
    constexpr int digits = 14;
    std::ostringstream out;
    out.precision(digits);
    out << it;
    return out.str();
}

std::string milliseconds_text(duration it)
{
    return number_text(std::chrono::duration<double, std::milli>{it}.count()) + " ms";
}

std::string route_text(const route& it)
{
    const auto place = it.host + it.path_prefix;
    return it.name.empty() ? place : it.name + " (" + place + ")";
}

} // namespace quincewing
