#include "quincewing/settings/host_settings.hpp"

#include "quincewing/settings/settings_file.hpp"

#include <fstream>
#include <set>
#include <sstream>

namespace quincewing {

namespace {

void read_host(settings_file& file, host_settings& to)
{
    const std::string section = "host";
    file.expect_section(section);
    file.require(section, "data_centre");
    file.get_address(section, "address", to.address);
    file.get_address(section, "listen", to.listen);
    file.get_address(section, "callers", to.callers);
    file.get_address(section, "operators", to.operators);
    file.get(section, "data_centre", to.data_centre);
    file.get_list(section, "peers", to.peers);
    file.get(section, "log_folder", to.log_folder);
    file.get(section, "stop_within", to.stop_within, seconds{1}, seconds{600});
    file.get(section, "stop_notice", to.stop_notice, millis{0}, seconds{600});
    for (const auto& peer : to.peers) {
        if (!is_address(peer)) {
            file.add_error(section, "peers", "'" + peer + "' is not an address", "ip:port");
        }
    }
}

void read_platform(settings_file& file, platform_settings& to)
{
    const std::string section = "platform";
    file.expect_section(section);
    file.require(section, "address");
    file.get_address(section, "address", to.address);
    file.get(section, "stream", to.stream);
    file.get(section, "poll", to.poll, millis{20}, seconds{10});
    file.get(section, "timeout", to.timeout, millis{100}, seconds{30});
    file.get(section, "appends_per_second", to.appends_per_second, 1, 100);
    file.get(section, "append_burst", to.append_burst, 1, 1000);
    file.get(section, "retention", to.retention, seconds{10}, seconds{90 * 24 * 3600});
}

void read_pair(settings_file& file, pair_settings& to)
{
    const std::string section = "pair";
    file.expect_section(section);
    file.get(section, "lease", to.lease, millis{100}, seconds{10});
    file.get(section, "drift_bound", to.drift_bound, millis{1}, seconds{1});
    file.get(section, "beat", to.beat, millis{10}, seconds{3});
    file.get(section, "patience", to.patience, millis{100}, seconds{30});
    file.get(section, "isolation_hold", to.isolation_hold, seconds{1}, seconds{7 * 24 * 3600});
    if (to.patience < to.lease) {
        file.add_error(section, "patience", "is shorter than the lease", "at least the lease");
    }
    if (to.beat * 3 > to.lease) {
        file.add_error(section, "beat", "leaves no room for a lost message",
                       "at most a third of the lease");
    }
    if (to.drift_bound * 4 > to.lease) {
        file.add_error(section, "drift_bound", "is large beside the lease",
                       "at most a quarter of the lease");
    }
}

void read_limits(settings_file& file, limit_settings& to)
{
    const std::string section = "limits";
    file.expect_section(section);
    file.get(section, "caller_connections", to.caller_connections, 1, 1'000'000);
    file.get_bytes(section, "request_body", to.request_body, 0, 64UL * 1024 * 1024);
    file.get_bytes(section, "answer_buffer", to.answer_buffer, 16UL * 1024, 64UL * 1024 * 1024);
    file.get(section, "caller_idle", to.caller_idle, seconds{1}, seconds{24 * 3600});
    file.get(section, "fresh_connection", to.fresh_connection, millis{10}, seconds{60});
    file.get_bytes(section, "memory", to.memory, 16UL * 1024 * 1024, 1024UL * 1024 * 1024 * 1024);
    file.get(section, "caller_memory", to.caller_memory, 0.05, 0.9);
    file.get(section, "operator_memory", to.operator_memory, 0.05, 0.5);
    file.get(section, "descriptors", to.descriptors, std::uint64_t{64}, std::uint64_t{1} << 24U);
    file.get(section, "caller_descriptors", to.caller_descriptors, 0.05, 0.9);
    file.get(section, "operator_descriptors", to.operator_descriptors, 0.05, 0.5);
}

service_settings read_service(settings_file& file, const std::string& name)
{
    const auto section = "service " + name;
    service_settings to;
    file.get(section, "keyed", to.keyed);
    file.get(section, "shards", to.shards, 1, 1'000'000);
    file.get(section, "checks_fences", to.checks_fences);
    file.get(section, "slots", to.slots, 1, 10'000);
    file.get(section, "connections", to.connections, 1, 100'000);
    file.get(section, "deadline", to.deadline, millis{1}, seconds{600});
    file.get(section, "max_deadline", to.max_deadline, millis{1}, seconds{600});
    file.get(section, "grant_lease", to.grant_lease, millis{100}, seconds{30});
    file.get(section, "server_patience", to.server_patience, millis{100}, seconds{60});
    file.get(section, "ledger_window", to.ledger_window, seconds{1}, seconds{24 * 3600});
    file.get(section, "require_idempotency_key", to.require_idempotency_key);
    file.get_list(section, "bulk_paths", to.bulk_paths);
    file.get(section, "host_name", to.host_name);
    file.get(section, "key_header", to.key_header);
    file.get(section, "weight_imbalance", to.weights.imbalance, 0, 1000);
    file.get(section, "weight_churn", to.weights.churn, 0, 1000);
    file.get(section, "weight_unavailable", to.weights.unavailable, 0, 1000);
    if (to.deadline > to.max_deadline) {
        file.add_error(section, "deadline", "is longer than max_deadline", "at most max_deadline");
    }
    return to;
}

server_settings read_server(settings_file& file, const std::string& name, const host_settings& all)
{
    const auto section = "server " + name;
    server_settings to;
    file.require(section, "service");
    file.require(section, "data_centre");
    file.require(section, "address");
    file.get(section, "service", to.service);
    file.get(section, "data_centre", to.data_centre);
    file.get_address(section, "address", to.address);
    if (!to.service.empty() && !all.services.contains(to.service)) {
        file.add_error(section, "service", "'" + to.service + "' has no section",
                       "a section [service " + to.service + "]");
    }
    return to;
}

void check_addresses(settings_file& file, const host_settings& to)
{
    std::set<std::string> own;
    for (const auto& [key, address] :
         {std::pair{"address", to.address}, std::pair{"callers", to.callers},
          std::pair{"operators", to.operators}}) {
        if (!own.insert(address).second) {
            file.add_error("host", key, "'" + address + "' is used twice", "an address of its own");
        }
    }
    std::set<std::string> servers;
    for (const auto& [name, server] : to.servers) {
        if (!server.address.empty() && !servers.insert(server.address).second) {
            file.add_error("server " + name, "address", "'" + server.address + "' is used twice",
                           "an address of its own");
        }
    }
}

} // namespace

tl::expected<host_settings, std::vector<settings_error>> read_settings(const std::string& name,
                                                                       const std::string& text)
{
    settings_file file{name, text};
    host_settings to;
    read_host(file, to);
    read_platform(file, to.platform);
    read_pair(file, to.pair);
    read_limits(file, to.limits);
    for (const auto& service : file.named("service")) {
        to.services[service] = read_service(file, service);
    }
    for (const auto& server : file.named("server")) {
        to.servers[server] = read_server(file, server, to);
    }
    if (to.services.empty()) {
        file.add_error("service NAME", "", "is missing", "at least one service");
    }
    check_addresses(file, to);
    auto errors = file.errors();
    if (!errors.empty()) {
        return tl::make_unexpected(std::move(errors));
    }
    return to;
}

tl::expected<host_settings, std::vector<settings_error>> read_settings_file(const std::string& path)
{
    std::ifstream in{path};
    std::ostringstream text;
    text << in.rdbuf();
    return read_settings(path, text.str());
}

} // namespace quincewing
