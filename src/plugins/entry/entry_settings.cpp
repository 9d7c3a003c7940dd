#include "quincewing/entry/entry_settings.hpp"

namespace quincewing {

namespace {

const std::string section = "entry";
const std::string bounds_section = "bounds";

void require_address(settings_file& file, const std::string& key, std::string& out)
{
    file.require(section, key);
    file.get_address(section, key, out);
}

deployment_bounds read_bounds(settings_file& file)
{
    constexpr seconds max_time{3600};
    deployment_bounds out;
    file.expect_section(bounds_section);
    file.get(bounds_section, "drain", out.drain, millis{0}, max_time);
    file.get(bounds_section, "configuration", out.configuration, millis{0}, max_time);
    file.get(bounds_section, "evacuation", out.evacuation, millis{0}, max_time);
    file.get(bounds_section, "grace", out.grace, millis{100}, max_time);
    file.get(bounds_section, "repeat_window", out.repeat_window, millis{100}, max_time);
    file.get(bounds_section, "longest_hold", out.longest_hold, millis{100}, max_time);
    file.get(bounds_section, "repeat_share", out.repeat_share, 0.0, 100.0);
    file.get(bounds_section, "repeat_extra", out.repeat_extra, 0.0, 1e9);
    return out;
}

} // namespace

bool has_entry_settings(const settings_file& file)
{
    return file.has(section);
}

tl::expected<entry_settings, std::vector<settings_error>> read_entry_settings(settings_file& file)
{
    entry_settings out;
    file.expect_section(section);
    file.require(section, "data_centre");
    file.get(section, "name", out.name);
    file.get(section, "data_centre", out.data_centre);
    require_address(file, "callers", out.callers);
    require_address(file, "readiness", out.readiness);
    require_address(file, "peers", out.peers);
    require_address(file, "metrics", out.metrics);
    require_address(file, "store", out.store);
    file.get(section, "servers_from", out.servers_from);
    file.get(section, "cores", out.cores, 0.0, 1024.0);
    file.get(section, "first_start", out.first_start);
    file.get_bytes(section, "answer_buffer", out.answer_buffer, 16UL * 1024, 64UL * 1024 * 1024);
    file.get_bytes(section, "held_answer", out.held_answer, 0, 16UL * 1024 * 1024);
    file.get_bytes(section, "request_body", out.request_body, 0, 64UL * 1024 * 1024);
    file.get(section, "fresh_connection", out.fresh_connection, millis{10}, seconds{60});
    file.get(section, "extra_grants", out.extra_grants, std::uint64_t{0}, std::uint64_t{16});
    file.get_bytes(section, "memory", out.memory, 16UL * 1024 * 1024, 1024UL * 1024 * 1024 * 1024);
    file.get(section, "caller_memory", out.caller_memory, 0.05, 0.9);
    file.get(section, "descriptors", out.descriptors, std::uint64_t{32}, std::uint64_t{1} << 24U);
    file.get(section, "caller_descriptors", out.caller_descriptors, 0.05, 0.9);
    out.bounds = read_bounds(file);
    auto errors = file.errors();
    if (!errors.empty()) {
        return tl::make_unexpected(std::move(errors));
    }
    return out;
}

} // namespace quincewing
