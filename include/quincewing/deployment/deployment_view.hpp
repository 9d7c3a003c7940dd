#pragma once

#include "quincewing/assignment/assignment_table.hpp"
#include "quincewing/deployment/configuration_currency.hpp"
#include "quincewing/deployment/evacuations.hpp"
#include "quincewing/deployment/server_conditions.hpp"
#include "quincewing/deployment/warm_up_tracker.hpp"
#include "quincewing/routing/route_table.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace quincewing {

/// The server that may run requests for a key.
struct key_owner
{
    /// Empty when no usable server owns the key.
    server_id server;
    /// Whether the grant to the server is in force, as far as this host knows.
    bool held{};
};

/// This host's current knowledge of the deployment, as needed to forward requests.
class deployment_view
{
public:
    /// handover_time: see evacuations.
    explicit deployment_view(std::uint64_t seed, duration handover_time = millis{2500})
        : routes_(seed), evacuations_(handover_time)
    {
    }

    /// False: it is not newer than the present one.
    bool apply_configuration(configuration next);
    void apply_servers(instant now, const backend_servers& servers);
    /// held tells for each range of the table whether its grant is in force.
    void apply_table(const assignment_table& table, std::vector<std::uint8_t> held);

    [[nodiscard]] const route_table& routes() const { return routes_; }
    /// Whether the configuration is still in force, as far as this host knows.
    [[nodiscard]] configuration_currency& currency() { return currency_; }
    [[nodiscard]] const configuration_currency& currency() const { return currency_; }
    [[nodiscard]] const backend_servers& servers() const { return servers_; }
    /// The servers as the store has them, where those that say themselves that they stop, and those
    /// of evacuated data centres, are draining too.
    [[nodiscard]] backend_servers servers_with_own_word() const;
    [[nodiscard]] const assignment_table& table() const { return table_; }
    [[nodiscard]] bool keyed(const service_id& service) const;
    [[nodiscard]] std::set<service_id> keyed_services() const;
    [[nodiscard]] key_owner owner_of(const service_id& service, key_number key) const;
    /// The server; nullptr when it is not registered, stops, or its data centre is closed.
    [[nodiscard]] const backend_server* find_usable_server(const server_id& id) const;
    /// The data centres that operators have evacuated.
    [[nodiscard]] class evacuations& evacuations() { return evacuations_; }
    [[nodiscard]] const class evacuations& evacuations() const { return evacuations_; }
    /// All servers of the service are in data centres that are evacuated.
    [[nodiscard]] bool evacuated(const service_id& service) const;
    /// Servers of a service that accept new requests without a key.
    [[nodiscard]] std::vector<backend_server> servers_of(const service_id& service) const;
    /// What the servers say of themselves.
    [[nodiscard]] server_conditions& conditions() { return conditions_; }
    [[nodiscard]] const server_conditions& conditions() const { return conditions_; }
    /// The rate that the server takes from all hosts together, by its own word or because it is
    /// cold; empty: it has no limit.
    [[nodiscard]] std::optional<request_rate> rate_limit(instant now,
                                                         const backend_server& server) const;
    /// The rates that servers take, of those that have a limit.
    [[nodiscard]] std::map<server_id, request_rate> rate_limits(instant now) const;
    /// Whether any server may be cold, so that limits end with time.
    [[nodiscard]] bool any_cold() const { return warm_up_.any(); }
    /// Whether the list of servers was ever set.
    [[nodiscard]] bool servers_known() const { return servers_known_; }

private:
    /// By the store's word or by its own.
    [[nodiscard]] bool stops(const backend_server& it) const
    {
        return it.draining || conditions_.leaving(it);
    }

    route_table routes_;
    configuration_currency currency_;
    backend_servers servers_;
    server_conditions conditions_;
    warm_up_tracker warm_up_;
    class evacuations evacuations_;
    assignment_table table_;
    std::vector<std::uint8_t> held_;
    bool servers_known_{};
};

} // namespace quincewing
