#include "quincewing/control/host_core.hpp"

#include <algorithm>

namespace quincewing {

host_core::host_core(host_options options) : options_(std::move(options)) {}

host_id host_core::leader_of(const server_id& server) const
{
    const auto pair = state_.pairs().find(server);
    const auto found = leader_hints_.find(server);
    const auto agent = agents_.find(server);
    if (agent != agents_.end() && agent->second.pair().is_leader()) {
        return options_.self;
    }
    if (pair == state_.pairs().end()) {
        return {};
    }
    if (found != leader_hints_.end() &&
        found->second.view.version() >= std::pair{pair->second.term, std::uint32_t{0}}) {
        return found->second.view.leader;
    }
    return pair->second.leader;
}

bool host_core::server_usable(const server_id& server) const
{
    const auto found = leader_hints_.find(server);
    return found == leader_hints_.end() || !found->second.lost;
}

server_agent& host_core::make_agent(const server_id& server)
{
    const auto entry = state_.servers().find(server);
    agent_options options;
    if (entry != state_.servers().end()) {
        const auto found = options_.services.find(entry->second.service);
        options = found == options_.services.end() ? agent_options{} : found->second;
    }
    server_agent::hooks hooks{
        .leader_of = [this](const server_id& id) { return leader_of(id); },
        .next_command_number = [this] { return ++command_number_; },
        .server_usable = [this](const server_id& id) { return server_usable(id); }};
    return agents_.try_emplace(server, server, options_.self, options, std::move(hooks), guard_)
        .first->second;
}

server_agent* host_core::agent_for(const server_id& server)
{
    const auto found = agents_.find(server);
    return found == agents_.end() ? nullptr : &found->second;
}

void host_core::on_state(instant now, instant started, log_state state, effects& out)
{
    if (state_.replace_if_newer(std::move(state))) {
        out.add_change("state_taken", std::to_string(state_.applied_offset()));
    }
    fresh_as_of_ = std::max(fresh_as_of_, started);
    last_read_ = now;
    after_replay(now, out);
}

void host_core::on_read(instant now, instant started,
                        const std::vector<std::pair<log_offset, record>>& records,
                        bool reached_tail, effects& out)
{
    bool changed = false;
    for (const auto& [offset, it] : records) {
        if (offset.value <= state_.applied_offset()) {
            continue;
        }
        const auto result = state_.apply(offset, it);
        changed = true;
        if (!result.accepted) {
            ++void_records_;
        }
    }
    last_read_ = now;
    if (changed) {
        after_replay(now, out);
    }
    // Only after the agents have processed the records does the read count as fresh.
    if (reached_tail) {
        fresh_as_of_ = std::max(fresh_as_of_, started);
    }
}

void host_core::after_replay(instant now, effects& out)
{
    for (const auto& [server, pair] : state_.pairs()) {
        if (pair.has(options_.self) && agent_for(server) == nullptr) {
            make_agent(server);
        }
    }
    for (auto& [server, agent] : agents_) {
        agent.on_log(now, state_, out);
    }
    std::erase_if(shard_hints_, [this](const auto& it) {
        const auto found = state_.shards().find(it.first);
        return found == state_.shards().end() || found->second.fence >= it.second.fence;
    });
}

bool host_core::log_reachable(instant now) const
{
    return last_read_ > instant{} && now - last_read_ <= options_.log_timeout;
}

} // namespace quincewing
