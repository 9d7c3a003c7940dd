#include "stop_support.hpp"

#include <algorithm>
#include <thread>

namespace quincewing::testing {

void pause_for(millis it)
{
    std::this_thread::sleep_for(it);
}

fleet_layout one_host(const std::string& stop_within)
{
    return {.hosts_each = 1, .servers_each = 1, .slots = 1, .stop_within = stop_within};
}

std::string work_of(const std::string& boat, millis it)
{
    return "/boats/" + boat + "/state?us=" + std::to_string(it.count() * 1000);
}

std::size_t runs_of(const process_fleet& fleet, const std::string& path)
{
    const auto lines = fleet.journal();
    return std::count_if(lines.begin(), lines.end(), [&](const auto& line) {
        return line.find("\"" + path + "\"") != std::string::npos;
    });
}

} // namespace quincewing::testing
