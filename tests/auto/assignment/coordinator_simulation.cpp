#include "coordinator_simulation.hpp"

#include <iterator>
#include <sstream>

/// coordinator_simulation: the run, and what it checks.
namespace quincewing::testing {

namespace {

constexpr seconds run_time{60};
/// Time without new faults that follows where there are data centres: what faults leave behind
/// takes up to 40 s, and the bound of an evacuation is checked after that.
constexpr seconds settled_time{60};
/// For each step, while no drill is under way.
constexpr double drill_rate = 0.0008;
constexpr double give_up_rate = 0.005;
constexpr double address_reuse_rate = 0.004;

} // namespace

coordinator_simulation::coordinator_simulation(std::uint64_t seed, const search_options& options)
    : options_(options), random_(seed), hosts_(host_count), servers_(server_count)
{
    for (std::size_t i = 0; i < server_count; ++i) {
        const auto name = "s" + std::to_string(i);
        servers_[i].self = {
            .id = server_id{name}, .start = server_start{1}, .address = name + ":80"};
        servers_[i].entry_updated = now_;
        if (has_data_centres()) {
            servers_[i].data_centre = data_centres[i % std::size(data_centres)];
        }
        if (options_.reused_addresses && i % 2 != 0) {
            servers_[i].service = other_keyed_service;
        }
        servers_[i].registered = servers_[i].self;
    }
    if (has_data_centres()) {
        // The stream of the orders is not empty: an offset of 0 would tell other hosts nothing.
        stored_.orders_end = 1;
        keep_state();
    }
    for (std::size_t i = 0; i < host_count; ++i) {
        start_host(i);
    }
}

std::optional<std::string> coordinator_simulation::run()
{
    faults_end_ = now_ + run_time;
    const auto end = has_data_centres() ? faults_end_ + settled_time : faults_end_;
    for (; now_ < end; now_ += step) {
        run_events();
        if (now_ < faults_end_) {
            begin_faults();
        }
        if (has_data_centres()) {
            change_data_centres();
        }
        if (options_.bursts) {
            add_burst_load();
        }
        update_server_entries();
        for (std::size_t i = 0; i < host_count; ++i) {
            tick(i);
        }
        if (options_.evacuations) {
            check_evacuations();
        }
        if (auto violation = find_violation()) {
            return violation;
        }
    }
    return {};
}

void coordinator_simulation::begin_faults()
{
    if (options_.faults) {
        inject_fault();
    }
    if (options_.terms_given_up && uniform() < give_up_rate) {
        make_host_stand_aside();
    }
    if (options_.reused_addresses && uniform() < address_reuse_rate) {
        reuse_address();
    }
    if (options_.drills && !drill_under_way_ && uniform() < drill_rate) {
        begin_drill();
    }
}

void coordinator_simulation::run_events()
{
    while (!events_.empty() && events_.top().at <= now_) {
        const auto run = events_.top().run;
        events_.pop();
        run();
    }
}

std::optional<std::string> coordinator_simulation::find_violation() const
{
    if (violation_) {
        return violation_;
    }
    auto out = find_shared_key(keyed_service);
    return out ? out : find_shared_key(other_keyed_service);
}

std::optional<std::string> coordinator_simulation::find_shared_key(const service_id& service) const
{
    for (const auto key : sample_keys) {
        const simulated_server* holder = nullptr;
        for (const auto& server : servers_) {
            if (server.service != service || !server.holds(now_, key)) {
                continue;
            }
            if (holder != nullptr) {
                std::ostringstream out;
                out << "key " << key << " at " << holder->self.id.value << " and "
                    << server.self.id.value << " after " << (now_.time_since_epoch() / millis{1})
                    << " ms";
                return out.str();
            }
            holder = &server;
        }
    }
    return {};
}

std::optional<std::string> search_coordinators(std::uint64_t seed, const search_options& options)
{
    return coordinator_simulation{seed, options}.run();
}

} // namespace quincewing::testing
