#include "quincewing/control/host_core.hpp"

#include "quincewing/base/hash.hpp"

/// host_core: requests of callers, and where they go.
namespace quincewing {

void host_core::begin(instant now, const server_id& server, const request_meta& meta, effects& out)
{
    auto* agent = agent_for(server);
    if (agent == nullptr) {
        out.answers.push_back({.id = meta.id, .why = refusal::not_leader});
        return;
    }
    request_servers_[meta.id] = server;
    agent->begin(now, meta, out);
}

void host_core::cancel(instant now, request_id id, effects& out)
{
    const auto found = request_servers_.find(id);
    if (found == request_servers_.end()) {
        return;
    }
    if (auto* agent = agent_for(found->second)) {
        agent->cancel(now, id, out);
    }
}

void host_core::finished(instant now, request_id id, const request_result& result, effects& out)
{
    const auto found = request_servers_.find(id);
    if (found == request_servers_.end()) {
        return;
    }
    auto* agent = agent_for(found->second);
    request_servers_.erase(found);
    if (agent != nullptr) {
        agent->finished(now, id, result, out);
    }
}

shard_id host_core::shard_of(const service_id& service, std::string_view key) const
{
    const auto found = state_.services().find(service);
    if (found == state_.services().end() || found->second.shards == 0) {
        return {service, any_shard};
    }
    return {service, static_cast<std::uint32_t>(stable_hash(key) % found->second.shards)};
}

std::optional<leader_route> host_core::find_route(const shard_id& shard) const
{
    const auto found = state_.shards().find(shard);
    if (found == state_.shards().end()) {
        return {};
    }
    const auto hint = shard_hints_.find(shard);
    const bool moved_alone = hint != shard_hints_.end() && hint->second.fence > found->second.fence;
    const auto& server = moved_alone ? hint->second.server : found->second.owner;
    return leader_route{.shard = shard, .server = server, .leader = leader_of(server)};
}

std::vector<leader_route> host_core::any_routes(const service_id& service) const
{
    std::vector<leader_route> out;
    for (const auto& [id, server] : state_.servers()) {
        if (server.service == service && !server.retiring && server_usable(id)) {
            out.push_back({.shard = {service, any_shard}, .server = id, .leader = leader_of(id)});
        }
    }
    return out;
}

std::set<server_id> host_core::lost_servers() const
{
    std::set<server_id> out;
    for (const auto& [server, it] : leader_hints_) {
        if (it.lost) {
            out.insert(server);
        }
    }
    return out;
}

void host_core::refuse_waiting(instant now, refusal why, duration retry_after, effects& out)
{
    for (auto& [server, agent] : agents_) {
        agent.refuse_undispatched(now, why, retry_after, out);
    }
}

bool host_core::has_request(request_id id) const
{
    const auto found = request_servers_.find(id);
    if (found == request_servers_.end()) {
        return false;
    }
    const auto agent = agents_.find(found->second);
    return agent != agents_.end() && agent->second.has_request(id);
}

bool host_core::idle() const
{
    for (const auto& [server, agent] : agents_) {
        if (agent.pair().is_leader() || agent.open_requests() > 0) {
            return false;
        }
    }
    return true;
}

} // namespace quincewing
