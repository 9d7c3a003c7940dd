#include "status_json.hpp"

namespace quincewing {

namespace {

using nlohmann::json;

json pair_json(const pair_view& view)
{
    return {{"leader", view.leader.value},
            {"standby", view.standby.value},
            {"term", view.term},
            {"round", view.round}};
}

json agent_json(const server_agent& agent)
{
    const auto now = monotonic_now();
    json out = pair_json(agent.pair().view());
    out["acting"] = agent.may_act(now);
    out["server_lost"] = agent.server_lost();
    out["queued"] = agent.queue().queued();
    out["in_flight"] = agent.queue().in_flight();
    out["limit"] = agent.queue().limit();
    out["ledger_entries"] = agent.request_ledger().size();
    std::map<std::string, int> phases;
    for (const auto& [shard, held] : agent.shards()) {
        ++phases[to_string(held.phase)];
    }
    out["shards"] = phases;
    return out;
}

json shard_json(const host_core& core, const shard_id& shard)
{
    const auto& entry = core.state().shards().at(shard);
    json out{{"shard", to_string(shard)},
             {"owner", entry.owner.value},
             {"standby_server", entry.standby.value},
             {"fence", to_string(entry.fence)},
             {"moving_from", entry.previous_owner ? entry.previous_owner->value : ""}};
    if (const auto route = core.find_route(shard)) {
        out["leader"] = route->leader.value;
    }
    const auto agent = core.agents().find(entry.owner);
    if (agent != core.agents().end()) {
        const auto held = agent->second.shards().find(shard);
        out["phase_here"] =
            held == agent->second.shards().end() ? "not held" : to_string(held->second.phase);
    }
    return out;
}

json trace_json(const request_trace& it)
{
    return {{"request", it.id},
            {"service", it.service.value},
            {"key", it.key},
            {"idempotency_key", it.idempotency_key},
            {"shard", to_string(it.shard)},
            {"server", it.server.value},
            {"verdict", to_string(it.verdict)},
            {"status", it.status},
            {"attempts", it.attempts},
            {"took_us", it.took.count()}};
}

} // namespace

json status_json(const host_task& host)
{
    const auto& core = host.core();
    const auto& state = core.state();
    const auto now = monotonic_now();
    json out{{"host", core.options().self.value},
             {"data_centre", core.options().data_centre.value},
             {"ready", host.ready()},
             {"stopping", host.stopping()},
             {"log",
              {{"applied", state.applied_offset()},
               {"reachable", core.log_reachable(now)},
               {"config_version", state.config_version()},
               {"snapshot", state.snapshot_offset()}}},
             {"set", state.operator_settings()},
             {"open_requests", host.open_requests()}};
    out["peers"] = json::array();
    for (const auto& member : core.members().available(now)) {
        out["peers"].push_back(
            {{"host", member.host.value}, {"data_centre", member.data_centre.value}});
    }
    for (const auto& [id, server] : state.servers()) {
        json item{{"service", server.service.value},
                  {"data_centre", server.data_centre.value},
                  {"address", server.address},
                  {"retiring", server.retiring}};
        const auto pair = state.pairs().find(id);
        item["leader"] = pair == state.pairs().end() ? "" : pair->second.leader.value;
        item["shards"] = 0;
        out["servers"][id.value] = std::move(item);
    }
    for (const auto& [shard, entry] : state.shards()) {
        // The owner may be a server that is no longer listed.
        auto& n = out["servers"][entry.owner.value]["shards"];
        n = n.is_number() ? n.get<int>() + 1 : 1;
    }
    for (const auto& [server, agent] : core.agents()) {
        if (agent.pair().view().has(core.options().self)) {
            out["pairs"][server.value] = agent_json(agent);
        }
    }
    return out;
}

json explain_json(const host_task& host, const std::string& name)
{
    const auto& core = host.core();
    const auto& state = core.state();
    if (const auto* plan = state.find_plan(plan_id{name})) {
        return {{"plan", name},
                {"accepted", plan->accepted},
                {"reason", plan->reason},
                {"offset", plan->offset}};
    }
    if (const auto server = state.servers().find(server_id{name});
        server != state.servers().end()) {
        return status_json(host)["servers"][name];
    }
    if (const auto* trace = host.requests().find(name)) {
        return trace_json(*trace);
    }
    const auto slash = name.find('/');
    if (slash == std::string::npos) {
        return nullptr;
    }
    const auto shard = core.shard_of(service_id{name.substr(0, slash)}, name.substr(slash + 1));
    return state.shards().contains(shard) ? shard_json(core, shard) : json(nullptr);
}

} // namespace quincewing
