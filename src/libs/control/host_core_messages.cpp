#include "quincewing/control/host_core.hpp"

/// host_core: what other hosts and servers say.
namespace quincewing {

namespace {

template <class... F>
struct overloaded : F...
{
    using F::operator()...;
};
template <class... F>
overloaded(F...) -> overloaded<F...>;

} // namespace

void host_core::on_envelope(instant now, const envelope& it, effects& out)
{
    if (it.to != options_.self) {
        return;
    }
    handle(now, it.from, it.body, out);
}

void host_core::handle(instant now, const host_id& from, const message& body, effects& out)
{
    const auto with_agent = [&](const server_id& server, const auto& act) {
        if (auto* agent = agent_for(server)) {
            act(*agent);
        }
    };
    std::visit(
        overloaded{
            [&](const pair_heartbeat& it) {
                // A new standby may receive a beat before it has read the record that names it.
                // The server's options are known only once the server is in the replayed state.
                auto* agent = agent_for(it.server);
                const bool known = state_.servers().contains(it.server);
                if (agent == nullptr && known && it.view.standby == options_.self && !leaving_) {
                    agent = &make_agent(it.server);
                }
                if (agent != nullptr) {
                    agent->on_heartbeat(now, from, it, out);
                }
            },
            [&](const pair_ack& it) {
                with_agent(it.server, [&](auto& agent) { agent.on_ack(now, from, it, out); });
            },
            [&](const ledger_update& it) {
                with_agent(it.server, [&](auto& agent) { agent.on_update(now, it); });
            },
            [&](const release_request& it) {
                with_agent(it.from, [&](auto& agent) {
                    agent.on_release_request(now, from, it, state_, out);
                });
            },
            [&](const shard_release& it) {
                with_agent(it.to,
                           [&](auto& agent) { agent.on_release(now, from, it, state_, out); });
            },
            [&](const release_taken& it) {
                with_agent(it.from, [&](auto& agent) { agent.on_release_taken(now, it, out); });
            },
            [&](const late_answer& it) {
                with_agent(it.server, [&](auto& agent) { agent.on_late_answer(now, it, out); });
            },
            [&](const leader_hint& it) {
                auto& known = leader_hints_[it.server];
                if (it.view.version() >= known.view.version()) {
                    known = {.view = it.view, .lost = it.lost};
                }
            },
            [&](const shard_hint& it) {
                auto& known = shard_hints_[it.shard];
                if (it.fence > known.fence) {
                    known = it;
                }
            },
            [&](const heartbeat& it) {
                const bool known = members_.all().contains(from);
                members_.on_heartbeat(now, from, it.data_centre);
                if (it.leaving) {
                    members_.on_leaving(from);
                }
                if (const auto report = guard_.on_digest(now, it.crash_digest)) {
                    out.send(from, *report);
                }
                if (!known) {
                    out.add_change("peer", from.value, "heard");
                    next_announcement_ = now;
                }
            },
            [&](const state_request& it) {
                if (state_.applied_offset() > it.applied) {
                    out.send(from, state_reply{.data = state_.serialise()});
                }
            },
            [&](const state_reply& it) {
                auto state = log_state::parse(it.data);
                if (state && state->applied_offset() > state_.applied_offset() &&
                    state_.replace_if_newer(*state)) {
                    out.add_change("state_taken", std::to_string(state_.applied_offset()),
                                   from.value);
                    after_replay(now, out);
                }
            },
            [&](const crash_report& it) {
                if (const auto reply = guard_.on_report(now, it)) {
                    out.send(from, *reply);
                }
            },
            // Messages between entry hosts on the platform, not sent to this kind of host.
            [](const auto&) {}},
        body);
}

void host_core::on_process_gone(instant now, const host_id& host, effects& out)
{
    const bool known = members_.all().contains(host);
    members_.remove(host);
    if (known) {
        out.add_change("peer", host.value, "process gone");
    }
    for (auto& [server, agent] : agents_) {
        if (agent.pair().view().has(host)) {
            agent.on_process_gone(now, host, surroundings(now, server, agent.pair().view()), out);
        }
    }
}

void host_core::on_host_list(instant /*now*/, const std::set<std::string>& addresses)
{
    listed_addresses_ = addresses;
}

void host_core::on_command_result(instant now, const server_id& server, std::uint64_t number,
                                  const command_reply& reply, effects& out)
{
    if (auto* agent = agent_for(server)) {
        agent->on_command_result(now, number, reply, out);
    }
}

} // namespace quincewing
