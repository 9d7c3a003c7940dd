#pragma once

#include "quincewing/assignment/assignment_table.hpp"
#include "quincewing/routing/route_table.hpp"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace quincewing {

/// Who may run a request for a key.
struct key_owner
{
    /// Empty: nobody was given the key.
    server_id server;
    /// The grant is in force, as far as is known.
    bool held{};
};

/// What this host believes about the deployment, as the path of requests needs it.
class deployment_view
{
public:
    explicit deployment_view(std::uint64_t seed) : routes_(seed) {}

    bool apply_configuration(configuration next) { return routes_.apply(std::move(next)); }
    void apply_servers(const backend_servers& servers);
    void apply_table(const assignment_table& table, std::vector<std::uint8_t> held);

    [[nodiscard]] const route_table& routes() const { return routes_; }
    [[nodiscard]] const backend_servers& servers() const { return servers_; }
    [[nodiscard]] const assignment_table& table() const { return table_; }
    [[nodiscard]] bool keyed(const service_id& service) const;
    [[nodiscard]] std::set<service_id> keyed_services() const;
    [[nodiscard]] key_owner owner_of(const service_id& service, key_number key) const;
    /// The server, if it is announced and does not leave.
    [[nodiscard]] const backend_server* find_usable_server(const server_id& id) const;
    /// Servers of a service that take new work.
    [[nodiscard]] std::vector<backend_server> servers_of(const service_id& service) const;
    [[nodiscard]] bool servers_known() const { return servers_known_; }

private:
    route_table routes_;
    backend_servers servers_;
    assignment_table table_;
    std::vector<std::uint8_t> held_;
    bool servers_known_{};
};

} // namespace quincewing
