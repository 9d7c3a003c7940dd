#include "coordinator_simulation.hpp"

#include <algorithm>

/// coordinator_simulation: servers, and the calls to them.
namespace quincewing::testing {

namespace {

constexpr millis entry_lag{700};
constexpr millis entry_expiry{2600};

} // namespace

simulated_server* coordinator_simulation::server_at(const key_holder& holder)
{
    simulated_server* out = nullptr;
    for (auto& it : servers_) {
        const bool first = out == nullptr || (it.up && !out->up);
        if (it.self.address == holder.address && first) {
            out = &it;
        }
    }
    return out;
}

std::uint64_t coordinator_simulation::connection_limit(const grant_keys& it)
{
    return it.newest_connection.value;
}

void coordinator_simulation::schedule_call_answer(std::size_t i, std::uint64_t incarnation,
                                                  call_number number, duration after,
                                                  call_outcome outcome, std::uint64_t connection)
{
    schedule(after, [this, i, incarnation, number, outcome, connection] {
        answer(i, incarnation, [=](coordinator& core, instant now) {
            core.on_call(now, number, outcome, "token", connection_number{connection});
        });
    });
}

template <class Call>
void coordinator_simulation::send_call(std::size_t i, const Call& it)
{
    const auto incarnation = hosts_[i].incarnation;
    auto* server = server_at(it.holder);
    if (server == nullptr) {
        schedule_call_answer(i, incarnation, it.number, it.timeout, call_outcome::not_sent, 0);
        return;
    }
    const auto index = static_cast<std::size_t>(server - servers_.data());
    if (options_.repeated_answers) {
        assign(i, index, to_call(i, index, it));
        return;
    }
    auto& open = hosts_[i].open_connections[index];
    if (connection_limit(it) != 0 && (open == 0 || open > connection_limit(it))) {
        schedule_call_answer(i, incarnation, it.number, millis{0}, call_outcome::not_sent, 0);
        return;
    }
    const auto was_open = open;
    if (open == 0) {
        open = ++last_connection_;
    }
    const auto schedule_answer = [this, i, incarnation, number = it.number,
                                  connection = open](duration after, call_outcome outcome) {
        schedule_call_answer(i, incarnation, number, after, outcome, connection);
    };
    if (hosts_[i].cut_from_server[index] || !server->up) {
        // On an open connection the bytes were sent, and are lost with its reset.
        schedule_answer(it.timeout, was_open != 0 ? call_outcome::unknown : call_outcome::not_sent);
        open = 0;
        return;
    }
    const bool late = uniform() < late_call_rate_;
    schedule(random_duration(millis{1}, millis{20}), [this, it, server, schedule_answer, late] {
        const auto arrived = now_;
        if (late) {
            const auto start = server->self.start;
            schedule(random_duration(seconds{2}, seconds{12}), [this, it, server, arrived, start] {
                if (server->up && server->self.start == start) {
                    apply(*server, arrived, it);
                }
            });
            schedule_answer(it.timeout, call_outcome::unknown);
            return;
        }
        schedule_answer(millis{5},
                        server->up ? apply(*server, arrived, it) : call_outcome::unknown);
    });
}

template void coordinator_simulation::send_call(std::size_t, const grant_keys&);
template void coordinator_simulation::send_call(std::size_t, const release_keys&);
template void coordinator_simulation::send_call(std::size_t, const identify_server&);

call_outcome coordinator_simulation::apply(simulated_server& server, instant arrived,
                                           const grant_keys& it)
{
    const auto outcome = server.on_grant(arrived, it);
    if (outcome == call_outcome::accepted && arrived == now_) {
        check_fence(server, it);
    }
    return outcome;
}

// A grant of a key to another server, or to a restarted one, needs a higher fence.
void coordinator_simulation::check_fence(const simulated_server& server, const grant_keys& it)
{
    for (const auto key : sample_keys) {
        if (!it.keys.contains(key)) {
            continue;
        }
        auto& last = last_grants_[{server.service, key}];
        const bool other = last.holder != server.self;
        if (other && it.fence <= last.fence && !violation_) {
            violation_ = "key " + std::to_string(key) + " went to " + server.self.id.value +
                         " under fence " + std::to_string(it.fence) + ", which " +
                         last.holder.id.value + " had";
        }
        if (it.fence >= last.fence) {
            last = {server.self, it.fence};
        }
    }
}

call_outcome coordinator_simulation::apply(simulated_server& server, instant,
                                           const release_keys& it)
{
    server.on_release(it);
    return call_outcome::accepted;
}

call_outcome coordinator_simulation::apply(simulated_server& server, instant,
                                           const identify_server& it)
{
    return server.self.id == it.holder.id ? call_outcome::accepted : call_outcome::rejected;
}

void coordinator_simulation::update_server_entries()
{
    for (auto& server : servers_) {
        if (server.up && !server.cut_from_store && !store_away() && now_ >= server.registers_at) {
            server.entry_updated = now_;
            server.registered = server.self;
        }
    }
    const bool refresh = now_.time_since_epoch() % millis{700} == duration{0};
    if (!refresh || store_away()) {
        return;
    }
    backend_servers entries;
    for (const auto& server : servers_) {
        if (now_ - server.entry_updated < entry_expiry) {
            const auto& self = options_.reused_addresses ? server.registered : server.self;
            entries[self.id] = {.id = self.id,
                                .start = self.start,
                                .address = self.address,
                                .service = server.service,
                                .data_centre = server.data_centre,
                                .slots = 2,
                                .warm_up_left = warm_up_left(server)};
        }
    }
    if (now_ < entries_written_again_) {
        entries = stored_.entries;
    } else {
        stored_.entries = entries;
        keep_state();
    }
    schedule(entry_lag, [this, entries] {
        for (auto& host : hosts_) {
            if (!host.cut_from_store) {
                host.servers = entries;
                host.view->apply_servers(now_, entries);
            }
        }
    });
}

} // namespace quincewing::testing
