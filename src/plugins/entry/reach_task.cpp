#include "reach_task.hpp"

#include "quincewing/base/hash.hpp"
#include "quincewing/logging/event_log.hpp"
#include "quincewing/net/connect_check.hpp"

#include <algorithm>
#include <iterator>
#include <memory>

namespace quincewing {

namespace {

constexpr millis probe_timeout{250};
// Servers of a service that are tried at the same time while this host has to know whether it
// reaches any, and otherwise.
constexpr std::size_t max_checks = 3;
constexpr std::size_t max_probes = 1;
// A shorter cut is not told to others.
constexpr millis settle_time{300};
// Servers of a service that a host connects to before it takes the term.
constexpr std::size_t sample_size = 6;
// After this time a host takes the term whatever it reaches: the grants of the last coordinator
// last longer.
constexpr seconds max_proof_wait{2};
constexpr seconds question_interval{1};
// A host that was better placed counts as such for longer than it takes to ask again.
constexpr seconds better_placed_time{3};
// Servers that one question is about; more are out of reach only in a cut.
constexpr std::size_t max_asked = 64;

} // namespace

reach_task::reach_task(host_context context, peers_task& peers, server_connections& connections)
    : context_(std::move(context)), peers_(peers), connections_(connections),
      hosts_(data_centre_id{context_.settings.data_centre},
             static_cast<std::uint32_t>(stable_hash(context_.self.value))),
      random_(static_cast<std::uint32_t>(stable_hash(context_.self.value)))
{
}

// ---- servers

const reach_task::service_reach* reach_task::find(const service_id& service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? nullptr : &found->second;
}

bool reach_task::reachable(const backend_server& server) const
{
    const auto* service = find(server.service);
    return service == nullptr || service->servers.reachable(server.id);
}

bool reach_task::reaches(const backend_server& server, duration max_idle) const
{
    return reachable(server) || connections_.has_idle(server.address, max_idle);
}

bool reach_task::take_trial(const service_id& service, bool idempotent)
{
    const auto found = services_.find(service);
    return found != services_.end() &&
           found->second.servers.take_trial(monotonic_now(), idempotent);
}

std::vector<server_id> reach_task::unreachable(const service_id& service) const
{
    std::vector<server_id> out;
    const auto all = context_.view.servers_of(service);
    for (const auto& it : all) {
        if (!reachable(it)) {
            out.push_back(it.id);
        }
    }
    return out.size() < all.size() ? out : std::vector<server_id>{};
}

bool reach_task::cut_off(const service_id& service) const
{
    const auto* it = find(service);
    return it != nullptr && it->servers.cut_off();
}

bool reach_task::cut_off() const
{
    return !services_.empty() &&
           std::all_of(services_.begin(), services_.end(),
                       [](const auto& it) { return it.second.servers.cut_off(); });
}

bool reach_task::cut_off_from_any() const
{
    return std::any_of(services_.begin(), services_.end(),
                       [](const auto& it) { return it.second.servers.cut_off(); });
}

void reach_task::on_connected(const backend_server& server)
{
    if (!reachable(server)) {
        log_event("server_reached", {{"server", server.id.value}});
    }
    if (const auto found = services_.find(server.service); found != services_.end()) {
        found->second.servers.on_connected(monotonic_now(), server.id);
    }
}

void reach_task::on_answer(const service_id& service)
{
    if (const auto found = services_.find(service); found != services_.end()) {
        found->second.servers.on_answer(monotonic_now());
    }
}

// Idle connections to a server that can't be reached are likely to be as dead, unless an answer
// came since.
void reach_task::on_connect_failed(const backend_server& server, instant since)
{
    const auto found = services_.find(server.service);
    if (found != services_.end() &&
        found->second.servers.on_connect_failed(monotonic_now(), server.id, since)) {
        log_event("server_unreachable", {{"server", server.id.value}, {"address", server.address}});
    }
    connections_.drop_unused_since(server.address, since);
}

void reach_task::on_broken(const backend_server& server, instant since)
{
    if (const auto found = services_.find(server.service); found != services_.end()) {
        found->second.servers.on_broken(server.id, since);
    }
}

// A host without callers learns of its ways from the coordinator's calls only.
void reach_task::on_key_call(const key_holder& to, instant since, call_way way)
{
    const auto& servers = context_.view.servers();
    const auto found = servers.find(to.id);
    if (found == servers.end() || found->second.address != to.address) {
        return;
    }
    const auto& server = found->second;
    switch (way) {
    case call_way::untried:
        return;
    case call_way::connect_failed:
        on_connect_failed(server, since);
        return;
    case call_way::broken:
        on_broken(server, since);
        return;
    case call_way::answered_anew:
        on_connected(server);
        on_answer(server.service);
        return;
    case call_way::answered:
        on_answer(server.service);
        return;
    }
}

void reach_task::on_servers()
{
    std::map<service_id, std::set<server_id>> ids;
    for (const auto& [id, it] : context_.view.servers()) {
        ids[it.service].insert(id);
    }
    std::erase_if(services_, [&](const auto& it) { return !ids.contains(it.first); });
    const reachability_options options{.first_probe = stable_hash(context_.self.value)};
    for (const auto& [service, servers] : ids) {
        services_.try_emplace(service, service_reach{.servers = server_reachability{options}})
            .first->second.servers.set_servers(servers);
    }
}

// ---- probes

// The end of a cut is found by connections of this host's own, not by requests.
void reach_task::probe(instant now, service_reach& it)
{
    const auto limit = it.servers.suspicious(now) ? max_checks : max_probes;
    while (it.probes < limit) {
        const auto due = it.servers.next_probe(now);
        const auto& servers = context_.view.servers();
        const auto found = due ? servers.find(*due) : servers.end();
        if (found == servers.end()) {
            return;
        }
        start_probe(now, found->second);
    }
}

void reach_task::start_probe(instant now, const backend_server& server, std::uint64_t candidacy)
{
    const auto of = services_.find(server.service);
    if (of == services_.end()) {
        return;
    }
    ++of->second.probes;
    const auto on_checked = [this, server, now, candidacy](connect_result result) {
        const auto found = services_.find(server.service);
        if (found == services_.end()) {
            return;
        }
        auto& it = found->second;
        it.probes -= it.probes > 0 ? 1 : 0;
        const bool reached = result == connect_result::accepted;
        it.sample.reached += reached && candidacy != 0 && it.sample.candidacy == candidacy ? 1 : 0;
        if (reached) {
            on_connected(server);
        } else {
            on_connect_failed(server, now);
        }
    };
    check_connect(context_.loop, server.address, probe_timeout, on_checked,
                  context_.settings.servers_from);
}

void reach_task::tick(instant now, coordinator_role role)
{
    if (role != role_) {
        role_ = role;
        role_since_ = now;
        if (role == coordinator_role::coordinator) {
            log_coordinator_reach(now);
        }
        if (role == coordinator_role::candidate) {
            start_samples(now);
        }
    }
    for (auto& [service, it] : services_) {
        probe(now, it);
    }
    note_cuts(now);
    if (unreachable_owners().empty()) {
        owners_unreachable_since_.reset();
        return;
    }
    owners_unreachable_since_ = owners_unreachable_since_.value_or(now);
    if (role == coordinator_role::coordinator) {
        compare_reach(now);
    }
}

void reach_task::note_cuts(instant now)
{
    unreached_services cuts;
    for (auto& [service, it] : services_) {
        const bool cut = it.servers.cut_off();
        if (cut != it.cut_since.has_value()) {
            log_event("cut_off", {{"from", service.value}, {"state", cut ? "begins" : "ends"}});
            it.cut_since = cut ? std::optional{now} : std::nullopt;
        }
        if (settled(now, it)) {
            cuts.insert(service);
        }
    }
    if (cuts == told_) {
        return;
    }
    told_ = std::move(cuts);
    for (const auto& host : peers_.connected_hosts()) {
        tell(host);
    }
}

// ---- the term

bool reach_task::settled(instant now, const service_reach& it)
{
    return it.cut_since && now - *it.cut_since > settle_time;
}

unreached_services reach_task::settled_cuts(instant now) const
{
    unreached_services out;
    for (const auto& [service, it] : services_) {
        if (context_.view.keyed(service) && settled(now, it)) {
            out.insert(service);
        }
    }
    return out;
}

// One server says little: those that have just started may be reached while the others are not.
void reach_task::start_samples(instant now)
{
    ++candidacies_;
    for (auto& [service, it] : services_) {
        if (!context_.view.keyed(service)) {
            continue;
        }
        std::vector<backend_server> servers;
        const auto all = context_.view.servers_of(service);
        std::sample(all.begin(), all.end(), std::back_inserter(servers), sample_size, random_);
        it.sample = {.candidacy = candidacies_, .size = servers.size()};
        for (const auto& server : servers) {
            start_probe(now, server, candidacies_);
        }
    }
}

// A cut that the others know of is weighed against theirs.
bool reach_task::unproven(instant now) const
{
    if (role_ != coordinator_role::candidate || now - role_since_ >= max_proof_wait) {
        return false;
    }
    return std::any_of(services_.begin(), services_.end(), [&](const auto& entry) {
        const auto& it = entry.second;
        return it.sample.candidacy == candidacies_ && !settled(now, it) &&
               2 * it.sample.reached < it.sample.size;
    });
}

bool reach_task::should_stand_aside(instant now) const
{
    if (unproven(now)) {
        return true;
    }
    const bool worse = owners_unreachable_since_ && now < better_placed_until_;
    const auto cuts = settled_cuts(now).size();
    if (!worse && cuts == 0) {
        return false;
    }
    const auto fewest = hosts_.fewest_unreached(context_.view.keyed_services());
    return fewest && (worse || *fewest < cuts);
}

void reach_task::log_coordinator_reach(instant now) const
{
    for (const auto& [service, it] : services_) {
        if (context_.view.keyed(service)) {
            log_event("coordinator_reach", {{"service", service.value},
                                            {"cut_off", it.servers.cut_off() ? "yes" : "no"},
                                            {"unreachable", it.servers.unreachable().size()},
                                            {"cut_hosts", hosts_.cut_hosts()},
                                            {"connected_ago", now - it.servers.last_connected()},
                                            {"answered_ago", now - it.servers.last_answer()}});
        }
    }
}

std::vector<server_id> reach_task::unreachable_owners() const
{
    std::vector<server_id> out;
    for (const auto& [service, it] : services_) {
        if (!context_.view.keyed(service)) {
            continue;
        }
        for (const auto& id : it.servers.unreachable()) {
            if (context_.view.find_usable_server(id) != nullptr) {
                out.push_back(id);
            }
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
    auto servers = unreachable_owners();
    const auto* first = context_.view.find_usable_server(servers.front());
    if (const auto host = choose_relay_host(first->service, {})) {
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

// ---- other hosts

std::optional<host_id> reach_task::choose_relay_host(const service_id& service,
                                                     const std::set<host_id>& tried)
{
    return hosts_.choose(monotonic_now(), service, tried);
}

void reach_task::on_relay_failed(const host_id& host, const service_id& service)
{
    hosts_.on_failed(monotonic_now(), host, service);
}

void reach_task::on_host_connected(const host_id& host, const data_centre_id& data_centre)
{
    hosts_.add(host, data_centre);
    if (!told_.empty()) {
        tell(host);
    }
}

void reach_task::on_host_lost(const host_id& host)
{
    hosts_.remove(host);
}

void reach_task::on_host_leaving(const host_id& host)
{
    hosts_.set_leaving(host);
}

// An earlier build names no services.
void reach_task::on_message(const host_id& from, const host_reach& it)
{
    unreached_services services{it.services.begin(), it.services.end()};
    if (it.cut_off && services.empty()) {
        for (const auto& [service, reach] : services_) {
            services.insert(service);
        }
    }
    log_event("host_reach", {{"host", from.value}, {"services_missed", services.size()}});
    hosts_.set_unreached(from, std::move(services));
}

void reach_task::tell(const host_id& to)
{
    peers_.send(to, host_reach{.cut_off = !told_.empty() && told_.size() == services_.size(),
                               .services = {told_.begin(), told_.end()}});
}

} // namespace quincewing
