#include "host_options_of.hpp"

namespace quincewing {

namespace {

// Snapshots are written this many times within the log's retention.
constexpr int snapshots_in_retention = 4;

agent_options agent_options_of(const host_settings& settings, const service_settings& service)
{
    agent_options out;
    out.pair = {.lease = settings.pair.lease,
                .drift_bound = settings.pair.drift_bound,
                .heartbeat_interval = settings.pair.beat,
                .silence_timeout = settings.pair.patience,
                .isolation_hold = settings.pair.isolation_hold};
    out.queue.slots = static_cast<double>(service.slots);
    out.ledger.window = service.ledger_window;
    out.checks_fences = service.checks_fences;
    out.grant_lease = service.grant_lease;
    out.renew_interval = service.grant_lease / 4;
    out.server_patience = service.server_patience;
    out.max_request_time = service.max_deadline;
    // Until then every run has reached its own deadline.
    out.drain_timeout = service.max_deadline;
    return out;
}

initial_deployment genesis_of(const host_settings& settings)
{
    initial_deployment out;
    for (const auto& [name, service] : settings.services) {
        out.services.push_back({.id = service_id{name},
                                .shards = static_cast<std::uint32_t>(service.shards),
                                .keyed = service.keyed});
    }
    for (const auto& [name, server] : settings.servers) {
        out.servers.push_back({.id = server_id{name},
                               .service = service_id{server.service},
                               .data_centre = data_centre_id{server.data_centre},
                               .address = server.address});
    }
    return out;
}

} // namespace

host_options host_options_of(const host_settings& settings, const host_id& self)
{
    host_options out{.self = self, .data_centre = data_centre_id{settings.data_centre}};
    for (const auto& [name, service] : settings.services) {
        out.services[service_id{name}] = agent_options_of(settings, service);
    }
    out.initial_record = genesis_of(settings);
    out.snapshot_period = settings.platform.retention / snapshots_in_retention;
    return out;
}

} // namespace quincewing
