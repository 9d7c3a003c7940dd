#include "quincewing/control/host_core.hpp"

#include "quincewing/base/hash.hpp"
#include "quincewing/state/log_bootstrap.hpp"

#include <algorithm>

namespace quincewing {

namespace {

constexpr millis claim_interval{500};
constexpr seconds genesis_retry_interval{2};

template <class... F>
struct overloaded : F...
{
    using F::operator()...;
};
template <class... F>
overloaded(F...) -> overloaded<F...>;

} // namespace

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

bool host_core::log_reachable(instant now) const
{
    return last_read_ > instant{} && now - last_read_ <= options_.log_timeout;
}

std::vector<member> host_core::candidates(instant now) const
{
    auto out = members_.available(now);
    if (!leaving_) {
        out.push_back({.host = options_.self, .data_centre = options_.data_centre});
    }
    return out;
}

pair_environment host_core::surroundings(instant now, const server_id& server,
                                         const pair_view& view) const
{
    pair_environment out{.log_reachable = log_reachable(now),
                         .log_current_as_of = fresh_as_of_,
                         .candidate = options_.self};
    const auto entry = state_.servers().find(server);
    const auto home =
        entry == state_.servers().end() ? options_.data_centre : entry->second.data_centre;
    const auto hosts = members_.available(now);
    for (const auto& host : rendezvous_order(server.value, hosts, home)) {
        if (host != options_.self && !view.has(host)) {
            out.candidate = host;
            break;
        }
    }
    const auto& all = members_.all();
    const auto standby = all.find(view.standby);
    const auto candidate = all.find(out.candidate);
    out.candidate_is_preferred = standby != all.end() && candidate != all.end() &&
                                 standby->second.data_centre != home &&
                                 candidate->second.data_centre == home;
    return out;
}

bool host_core::claimable(instant now, const server_entry& server, const pair_entry& pair)
{
    if (pair.term == 0) {
        return true;
    }
    const bool heard = members_.is_live(now, pair.leader) || members_.is_live(now, pair.standby) ||
                       pair.has(options_.self);
    if (heard) {
        unheard_since_.erase(server.id);
        return false;
    }
    const auto since = unheard_since_.try_emplace(server.id, now).first->second;
    if (server.data_centre == options_.data_centre) {
        return now - since >= options_.claim_timeout;
    }
    // A host that the platform lists is alive and only unreachable from here.
    const bool listed = listed_addresses_.contains(address_of(pair.leader)) ||
                        listed_addresses_.contains(address_of(pair.standby));
    return !listed && now - since >= options_.foreign_claim_timeout;
}

// Claims the servers without a pair, or with an unreachable one, that rendezvous hashing assigns to
// this host.
void host_core::claim_servers(instant now, effects& out)
{
    if (now < next_claim_ || !log_reachable(now) || leaving_ ||
        now - started_ < options_.startup_delay) {
        return;
    }
    next_claim_ = now + claim_interval;
    const auto hosts = candidates(now);
    for (const auto& [id, server] : state_.servers()) {
        const auto pair = state_.pairs().find(id);
        if (pair == state_.pairs().end() || !claimable(now, server, pair->second)) {
            continue;
        }
        const auto order = rendezvous_order(id.value, hosts, server.data_centre);
        if (order.empty() || order.front() != options_.self) {
            continue;
        }
        const bool first = pair->second.term == 0;
        out.appends.emplace_back(pair_change{.server = id,
                                             .expected_term = pair->second.term,
                                             .leader = options_.self,
                                             .standby = order.size() > 1 ? order[1] : options_.self,
                                             .isolation_hold = !first,
                                             .ledger_missing = !first});
    }
}

void host_core::send_heartbeats(instant now, effects& out)
{
    if (now < next_heartbeat_) {
        return;
    }
    next_heartbeat_ = now + options_.heartbeat_interval;
    const auto digest = guard_.digest(now);
    for (const auto& [host, it] : members_.all()) {
        out.send(host, heartbeat{.data_centre = options_.data_centre,
                                 .applied = state_.applied_offset(),
                                 .leaving = leaving_,
                                 .crash_digest = digest});
        if (!has_state() || !log_reachable(now)) {
            out.send(host, state_request{.applied = state_.applied_offset()});
        }
    }
}

// Tells the other hosts which servers this host leads, at each change and at intervals.
void host_core::announce(instant now, effects& out)
{
    const bool all = now >= next_announcement_;
    if (all) {
        next_announcement_ = now + options_.announce_interval;
    }
    for (const auto& [server, agent] : agents_) {
        if (!agent.pair().is_leader()) {
            continue;
        }
        announce_unrecorded_shards(server, agent, all, out);
        const bool lost = agent.server_lost();
        auto& told = announced_views_[server];
        if (!all && told == agent.pair().view() && announced_lost_.contains(server) == lost) {
            continue;
        }
        told = agent.pair().view();
        if (lost) {
            announced_lost_.insert(server);
        } else {
            announced_lost_.erase(server);
        }
        leader_hints_[server] = {.view = told, .lost = lost};
        for (const auto& [host, it] : members_.all()) {
            out.send(host, leader_hint{.server = server, .view = told, .lost = lost});
        }
    }
}

void host_core::announce_unrecorded_shards(const server_id& server, const server_agent& agent,
                                           bool all, effects& out)
{
    for (const auto& [shard, held] : agent.shards()) {
        if (!held.unrecorded_until || (!all && shard_hints_[shard].fence >= held.fence)) {
            continue;
        }
        const shard_hint hint{.shard = shard, .server = server, .fence = held.fence};
        shard_hints_[shard] = hint;
        for (const auto& [host, it] : members_.all()) {
            out.send(host, hint);
        }
    }
}

void host_core::write_snapshot(instant now, effects& out)
{
    if (!has_state() || !log_reachable(now) || leaving_) {
        return;
    }
    if (snapshot_at_ == instant{}) {
        snapshot_at_ = now;
    }
    const bool many =
        state_.applied_offset() - state_.snapshot_offset() > options_.snapshot_record_interval;
    const bool old = now - snapshot_at_ > options_.snapshot_period;
    if (!many && !old) {
        return;
    }
    const auto order = rendezvous_order("snapshot", candidates(now), {});
    const bool mine = !order.empty() && order.front() == options_.self;
    if (old || mine) {
        snapshot_at_ = now;
    }
    // Another host is chosen to write it. If that one drops out, a later tick chooses a new one.
    if (!mine) {
        return;
    }
    for (auto& chunk : make_snapshot(state_, options_.snapshot_chunk_bytes)) {
        out.appends.emplace_back(std::move(chunk));
    }
    out.add_change("snapshot", std::to_string(state_.applied_offset()));
}

void host_core::drop_idle_agents()
{
    std::erase_if(agents_, [this](const auto& it) {
        const auto pair = state_.pairs().find(it.first);
        const bool ours = it.second.pair().view().has(options_.self) ||
                          (pair != state_.pairs().end() && pair->second.has(options_.self));
        return !ours && it.second.open_requests() == 0;
    });
}

void host_core::broadcast_crash_findings(instant now, effects& out)
{
    const auto report = guard_.take_findings(now);
    if (!report) {
        return;
    }
    for (const auto& it : report->marks) {
        if (guard_.status(now, it.fingerprint) == crash_status::quarantined) {
            out.add_change("quarantine", std::to_string(it.fingerprint));
        }
    }
    for (const auto& [host, it] : members_.all()) {
        out.send(host, *report);
    }
}

void host_core::tick(instant now, effects& out)
{
    if (started_ == instant{}) {
        started_ = now;
    }
    members_.remove_expired(now);
    // An empty log: the first host to append founds the deployment, from its settings.
    const bool empty_log = log_reachable(now) && fresh_as_of_ > instant{} && !has_state();
    if (empty_log && (!genesis_sent_ || now - genesis_sent_at_ > genesis_retry_interval)) {
        genesis_sent_ = true;
        genesis_sent_at_ = now;
        out.appends.emplace_back(options_.initial_record);
    }
    for (auto& [server, agent] : agents_) {
        // Without the log nobody could take over, and the server would be led by nobody.
        if (leaving_ && log_reachable(now)) {
            agent.hand_over();
        }
        agent.tick(now, surroundings(now, server, agent.pair().view()), state_, out);
    }
    claim_servers(now, out);
    send_heartbeats(now, out);
    announce(now, out);
    write_snapshot(now, out);
    broadcast_crash_findings(now, out);
    drop_idle_agents();
}

void host_core::flush(instant now, effects& out)
{
    for (auto& [server, agent] : agents_) {
        agent.flush(now, out);
    }
    broadcast_crash_findings(now, out);
}

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

void host_core::leave(instant now, effects& out)
{
    leaving_ = true;
    next_heartbeat_ = now;
    send_heartbeats(now, out);
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
