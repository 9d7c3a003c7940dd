#include "quincewing/control/host_core.hpp"

#include "quincewing/state/log_bootstrap.hpp"

#include <algorithm>

/// host_core: what it does as time goes on.
namespace quincewing {

namespace {

constexpr millis claim_interval{500};
constexpr seconds genesis_retry_interval{2};

} // namespace

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

void host_core::leave(instant now, effects& out)
{
    leaving_ = true;
    next_heartbeat_ = now;
    send_heartbeats(now, out);
}

} // namespace quincewing
