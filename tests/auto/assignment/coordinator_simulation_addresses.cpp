#include "coordinator_simulation.hpp"

/// coordinator_simulation: addresses that go to a server of another service.
namespace quincewing::testing {

namespace {

/// An address may be given away so long after the end of its server.
constexpr seconds reuse_delay{2};
/// A new process writes its first entry within this time.
constexpr millis longest_registration{1500};
/// Longer than a call is under way.
constexpr millis process_start_time{100};
constexpr double disturbance_rate = 0.6;

} // namespace

void coordinator_simulation::reuse_address()
{
    const auto ended = static_cast<std::size_t>(uniform() * server_count);
    // Servers belong to the two services in turn.
    const auto taker = (ended + (uniform() < 0.5 ? 1 : server_count - 1)) % server_count;
    if (!servers_[ended].up) {
        return;
    }
    const auto address = servers_[ended].self.address;
    stop_server(ended);
    schedule_fault_end(seconds{3}, seconds{9}, [this, ended] {
        start_server_at(ended, "a" + std::to_string(++last_address_) + ":80");
    });
    schedule(random_duration(reuse_delay, reuse_delay + millis{600}), [this, taker, address] {
        if (!servers_[taker].up) {
            return;
        }
        stop_server(taker);
        schedule(process_start_time, [this, taker, address] { start_server_at(taker, address); });
        if (options_.counts != nullptr) {
            ++options_.counts->addresses_reused;
        }
    });
    if (uniform() < disturbance_rate) {
        schedule(random_duration(millis{0}, seconds{4}), [this] { disturb_coordinator(); });
    }
}

void coordinator_simulation::start_server_at(std::size_t s, const std::string& address)
{
    if (servers_[s].up) {
        return;
    }
    start_server(s);
    servers_[s].self.address = address;
    servers_[s].registers_at = now_ + random_duration(millis{0}, longest_registration);
}

void coordinator_simulation::disturb_coordinator()
{
    for (std::size_t i = 0; i < host_count; ++i) {
        if (!hosts_[i].up || !hosts_[i].core->coordinating()) {
            continue;
        }
        if (uniform() < 0.5) {
            crash_host(i);
        } else {
            hosts_[i].core->set_standing_aside(true);
            schedule_fault_end(seconds{1}, seconds{3}, [this, i] {
                if (hosts_[i].up) {
                    hosts_[i].core->set_standing_aside(false);
                }
            });
        }
    }
}

} // namespace quincewing::testing
