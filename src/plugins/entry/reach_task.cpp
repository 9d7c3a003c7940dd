#include "reach_task.hpp"

#include "quincewing/base/hash.hpp"
#include "quincewing/logging/event_log.hpp"
#include "quincewing/net/connect_check.hpp"

#include <algorithm>
#include <memory>

namespace quincewing {

namespace {

constexpr millis probe_timeout{250};
// A probe of which nothing was heard for so long does not hold up the next.
constexpr seconds probe_forgotten_after{2};
// A shorter cut is not told to others.
constexpr millis settle_time{300};
constexpr seconds question_interval{1};
// A host that was better placed counts as such for longer than it takes to ask again.
constexpr seconds better_placed_time{3};
// Servers that one question is about; more are out of reach only in a cut.
constexpr std::size_t max_asked = 64;

} // namespace

reach_task::reach_task(host_context context, peers_task& peers, server_connections& connections)
    : context_(std::move(context)), peers_(peers), connections_(connections),
      random_(static_cast<std::uint32_t>(stable_hash(context_.self.value)))
{
}

bool reach_task::reaches(const backend_server& server, duration max_idle) const
{
    return servers_.reachable(server.id) || connections_.has_idle(server.address, max_idle);
}

std::vector<server_id> reach_task::unreachable(const service_id& service) const
{
    std::vector<server_id> out;
    const auto all = context_.view.servers_of(service);
    for (const auto& it : all) {
        if (!servers_.reachable(it.id)) {
            out.push_back(it.id);
        }
    }
    return out.size() < all.size() ? out : std::vector<server_id>{};
}

bool reach_task::should_stand_aside(instant now) const
{
    const bool others = !near_.empty() || !far_.empty();
    const bool cut = cut_since_ && now - *cut_since_ > settle_time;
    const bool worse = owners_unreachable_since_ && now < better_placed_until_;
    return others && (cut || worse);
}

// Kept ready, as a host that is cut off asks for each request.
void reach_task::list_relay_hosts()
{
    const data_centre_id own{context_.settings.data_centre};
    near_.clear();
    far_.clear();
    for (const auto& [host, data_centre] : hosts_) {
        if (!cut_hosts_.contains(host) && !leaving_.contains(host)) {
            (data_centre == own ? near_ : far_).push_back(host);
        }
    }
}

std::optional<host_id> reach_task::choose_relay_host(const std::set<host_id>& tried)
{
    for (const auto* hosts : {&near_, &far_}) {
        const auto n = hosts->size();
        const auto first = n == 0 ? 0 : random_() % n;
        for (std::size_t i = 0; i < n; ++i) {
            const auto& host = (*hosts)[(first + i) % n];
            if (!tried.contains(host)) {
                return host;
            }
        }
    }
    return std::nullopt;
}

void reach_task::on_connected(const backend_server& server)
{
    if (!servers_.reachable(server.id)) {
        log_event("server_reached", {{"server", server.id.value}});
    }
    servers_.on_connected(server.id);
    last_connected_ = monotonic_now();
}

void reach_task::on_answer()
{
    servers_.on_answer();
    last_answer_ = monotonic_now();
}

// Idle connections to a server that can't be reached are likely to be as dead, unless an answer
// came since.
void reach_task::on_connect_failed(const backend_server& server, instant since)
{
    if (servers_.on_connect_failed(monotonic_now(), server.id)) {
        log_event("server_unreachable", {{"server", server.id.value}, {"address", server.address}});
    }
    connections_.drop_unused_since(server.address, since);
}

void reach_task::on_broken(const backend_server& server)
{
    servers_.on_broken(server.id);
}

void reach_task::on_servers()
{
    std::set<server_id> ids;
    for (const auto& [id, it] : context_.view.servers()) {
        ids.insert(id);
    }
    servers_.set_servers(ids);
}

void reach_task::on_host_connected(const host_id& host, const data_centre_id& data_centre)
{
    hosts_[host] = data_centre;
    cut_hosts_.erase(host);
    list_relay_hosts();
    if (told_cut_) {
        tell(host, true);
    }
}

void reach_task::on_host_lost(const host_id& host)
{
    hosts_.erase(host);
    cut_hosts_.erase(host);
    list_relay_hosts();
}

void reach_task::on_host_leaving(const host_id& host)
{
    leaving_.insert(host);
    list_relay_hosts();
}

void reach_task::on_message(const host_id& from, const host_reach& it)
{
    if (it.cut_off) {
        cut_hosts_.insert(from);
    } else {
        cut_hosts_.erase(from);
    }
    list_relay_hosts();
    log_event("host_reach", {{"host", from.value}, {"cut_off", it.cut_off ? "yes" : "no"}});
}

void reach_task::tell(const host_id& to, bool cut_off)
{
    peers_.send(to, host_reach{.cut_off = cut_off});
}

void reach_task::tick(instant now, bool coordinates)
{
    probe(now);
    note_cut(now);
    if (coordinates && !coordinates_) {
        log_coordinator_reach(now);
    }
    coordinates_ = coordinates;
    const bool reaches_all = unreachable_owners().empty();
    if (reaches_all) {
        owners_unreachable_since_.reset();
    } else {
        owners_unreachable_since_ = owners_unreachable_since_.value_or(now);
    }
    if (coordinates && !reaches_all) {
        compare_reach(now);
    }
}

void reach_task::log_coordinator_reach(instant now) const
{
    log_event("coordinator_reach", {{"cut_off", servers_.cut_off() ? "yes" : "no"},
                                    {"unreachable", servers_.unreachable().size()},
                                    {"cut_hosts", cut_hosts_.size()},
                                    {"connected_ago", now - last_connected_},
                                    {"answered_ago", now - last_answer_}});
}

std::vector<server_id> reach_task::unreachable_owners() const
{
    std::vector<server_id> out;
    for (const auto& id : servers_.unreachable()) {
        const auto* server = context_.view.find_usable_server(id);
        if (server != nullptr && context_.view.keyed(server->service)) {
            out.push_back(id);
        }
    }
    return out;
}

// A server that has crashed is out of reach for all: only another host can tell.
void reach_task::compare_reach(instant now)
{
    if (now < next_question_ || now - *owners_unreachable_since_ < settle_time) {
        return;
    }
    next_question_ = now + question_interval;
    if (const auto host = choose_relay_host({})) {
        auto servers = unreachable_owners();
        servers.resize(std::min(servers.size(), max_asked));
        peers_.send(*host, reach_question{.servers = std::move(servers)});
    }
}

void reach_task::on_message(const host_id& from, const reach_question& it)
{
    struct answer
    {
        std::size_t open{};
        reach_result result;
    };
    const auto state = std::make_shared<answer>();
    for (std::size_t i = 0; i < std::min(it.servers.size(), max_asked); ++i) {
        const auto found = context_.view.servers().find(it.servers[i]);
        if (found == context_.view.servers().end()) {
            ++state->result.unreached;
            continue;
        }
        ++state->open;
        const auto on_checked = [this, from, state](connect_result result) {
            state->result.unreached += result == connect_result::accepted ? 0 : 1;
            if (--state->open == 0) {
                peers_.send(from, state->result);
            }
        };
        check_connect(context_.loop, found->second.address, probe_timeout, on_checked,
                      context_.settings.servers_from);
    }
}

// Only a host that is much better placed: hosts that each miss other servers must not hand the term
// to and fro.
void reach_task::on_message(const host_id&, const reach_result& it)
{
    const auto own = std::min(unreachable_owners().size(), max_asked);
    if (2 * static_cast<std::size_t>(it.unreached) < own) {
        better_placed_until_ = monotonic_now() + better_placed_time;
    }
}

// The end of a cut is found by connections of this host's own, not by requests. One at a time.
void reach_task::probe(instant now)
{
    if (probe_pending_ && now - probe_sent_ < probe_forgotten_after) {
        return;
    }
    const auto due = servers_.next_probe(now);
    const auto found = due ? context_.view.servers().find(*due) : context_.view.servers().end();
    if (found == context_.view.servers().end()) {
        return;
    }
    probe_pending_ = true;
    probe_sent_ = now;
    check_connect(
        context_.loop, found->second.address, probe_timeout,
        [this, server = found->second, now](connect_result result) {
            probe_pending_ = false;
            if (result == connect_result::accepted) {
                on_connected(server);
            } else {
                on_connect_failed(server, now);
            }
        },
        context_.settings.servers_from);
}

void reach_task::note_cut(instant now)
{
    const bool cut = servers_.cut_off();
    if (cut != cut_since_.has_value()) {
        log_event("cut_off", {{"from", "servers"}, {"state", cut ? "begins" : "ends"}});
        cut_since_ = cut ? std::optional{now} : std::nullopt;
    }
    const bool tells = cut_since_ && now - *cut_since_ > settle_time;
    if (tells == told_cut_) {
        return;
    }
    told_cut_ = tells;
    for (const auto& host : peers_.connected_hosts()) {
        tell(host, tells);
    }
}

} // namespace quincewing
