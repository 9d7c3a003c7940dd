#include "quincewing/deployment/deployment_view.hpp"

#include <algorithm>

namespace quincewing {

bool deployment_view::apply_configuration(configuration next)
{
    const auto version = next.version;
    if (!routes_.apply(std::move(next))) {
        return false;
    }
    currency_.on_applied(version);
    return true;
}

void deployment_view::apply_servers(instant now, const backend_servers& servers)
{
    servers_ = servers;
    warm_up_.on_servers(now, servers);
    servers_known_ = true;
}

std::optional<request_rate> deployment_view::rate_limit(instant now,
                                                        const backend_server& server) const
{
    auto limit = conditions_.rate_limit(server);
    if (!warm_up_.cold(now, server)) {
        return limit;
    }
    const auto& services = routes_.current().services;
    const auto found = services.find(server.service);
    if (found == services.end() || found->second.warm_up_rate.value <= 0) {
        return limit;
    }
    const auto cold = found->second.warm_up_rate;
    return limit ? std::min(*limit, cold) : cold;
}

std::map<server_id, request_rate> deployment_view::rate_limits(instant now) const
{
    std::map<server_id, request_rate> out;
    for (const auto& [id, server] : servers_) {
        if (const auto limit = rate_limit(now, server)) {
            out.emplace(id, *limit);
        }
    }
    return out;
}

void deployment_view::apply_table(const assignment_table& table, std::vector<std::uint8_t> held)
{
    table_ = table;
    held_ = std::move(held);
    held_.resize(table_.ranges.size(), 1);
}

bool deployment_view::keyed(const service_id& service) const
{
    const auto found = routes_.current().services.find(service);
    return found != routes_.current().services.end() && found->second.keyed;
}

std::set<service_id> deployment_view::keyed_services() const
{
    std::set<service_id> out;
    for (const auto& [id, settings] : routes_.current().services) {
        if (settings.keyed) {
            out.insert(id);
        }
    }
    return out;
}

key_owner deployment_view::owner_of(const service_id& service, key_number key) const
{
    const auto* range = table_.find(service, key);
    if (range == nullptr) {
        return {};
    }
    const auto* server = find_usable_server(range->owner.id);
    if (server == nullptr || server->start != range->owner.start) {
        return {};
    }
    const auto index = static_cast<std::size_t>(range - table_.ranges.data());
    return {.server = range->owner.id, .held = held_[index] != 0};
}

const backend_server* deployment_view::find_usable_server(const server_id& id) const
{
    const auto found = servers_.find(id);
    const bool usable = found != servers_.end() && !stops(found->second) &&
                        !evacuations_.closed(found->second.data_centre);
    return usable ? &found->second : nullptr;
}

backend_servers deployment_view::servers_with_own_word() const
{
    auto out = servers_;
    for (auto& [id, server] : out) {
        server.draining = stops(server) || evacuations_.evacuated(server.data_centre);
    }
    return out;
}

bool deployment_view::evacuated(const service_id& service) const
{
    bool any = false;
    for (const auto& [id, server] : servers_) {
        if (server.service != service) {
            continue;
        }
        any = true;
        if (!evacuations_.evacuated(server.data_centre)) {
            return false;
        }
    }
    return any;
}

std::vector<backend_server> deployment_view::servers_of(const service_id& service) const
{
    std::vector<backend_server> out;
    for (const auto& [id, server] : servers_) {
        if (server.service == service && !stops(server) &&
            !evacuations_.evacuated(server.data_centre)) {
            out.push_back(server);
        }
    }
    return out;
}

} // namespace quincewing
