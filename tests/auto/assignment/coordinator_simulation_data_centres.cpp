#include "coordinator_simulation.hpp"

#include <algorithm>

/// coordinator_simulation: operators' orders, data centres that come back cold, and bursts.
namespace quincewing::testing {

namespace {

/// For each step.
constexpr double order_rate = 0.003;
constexpr double loss_rate = 0.0012;
constexpr double burst_rate = 0.003;
/// As hosts read the orders: at this interval while they coordinate, or while nobody has told them
/// the orders for this time.
constexpr millis order_read_interval{350};
constexpr millis longest_unconfirmed{1400};

} // namespace

std::unique_ptr<deployment_view> coordinator_simulation::make_view() const
{
    auto out = std::make_unique<deployment_view>(1);
    configuration current{.version = config_version{1}};
    current.services[keyed_service] = {.keyed = true, .warm_up_rate = warm_up_rate};
    if (options_.reused_addresses) {
        current.services[other_keyed_service] = {.keyed = true};
    }
    out->apply_configuration(std::move(current));
    return out;
}

std::uint64_t coordinator_simulation::warm_up_left(const simulated_server& it) const
{
    return cold(it) ? static_cast<std::uint64_t>((it.cold_until - now_).count()) : 0;
}

backend_servers coordinator_simulation::servers_for_planner(std::size_t i) const
{
    auto out = hosts_[i].view->servers_with_own_word();
    for (auto& [id, it] : out) {
        it.draining = it.draining && options_.follow_orders;
    }
    return out;
}

// ---- orders

void coordinator_simulation::change_data_centres()
{
    const auto pick = [this] { return static_cast<std::size_t>(uniform() * 2); };
    if (options_.evacuations && uniform() < order_rate && !store_away()) {
        const auto at = pick();
        const auto& it = data_centres[at];
        // Rarely both are evacuated, as then nothing can be checked.
        if (evacuated(it) || !evacuated(data_centres[1 - at]) || uniform() < 0.3) {
            store_order(it, !evacuated(it));
        }
    }
    if (options_.cold_returns && uniform() < loss_rate) {
        lose_data_centre(data_centres[pick()]);
    }
}

void coordinator_simulation::store_order(const data_centre_id& data_centre, bool evacuated)
{
    stored_.orders[data_centre] = evacuated;
    ++stored_.orders_end;
    keep_state();
    if (options_.counts != nullptr && evacuated) {
        ++options_.counts->evacuations;
    }
}

void coordinator_simulation::read_orders(std::size_t i)
{
    auto& host = hosts_[i];
    const bool confirmed = now_ - host.orders_known_at < longest_unconfirmed;
    const bool wanted = host.core->coordinating() || !confirmed;
    if (!wanted || host.order_read_pending || now_ < host.next_order_read) {
        return;
    }
    host.order_read_pending = true;
    host.next_order_read = now_ + order_read_interval;
    host.store.newest(store_stream::configuration,
                      [this, i, sent = now_](const store_page& page) { on_orders(i, sent, page); });
}

void coordinator_simulation::on_orders(std::size_t i, instant sent, const store_page& page)
{
    auto& host = hosts_[i];
    host.order_read_pending = false;
    if (page.status != store_status::ok) {
        return;
    }
    std::vector<evacuation_order> orders;
    for (const auto& it : page.records) {
        orders.push_back(
            {.data_centre = data_centre_id{it.key}, .evacuated = it.value == "evacuated"});
    }
    host.view->evacuations().on_full_read(host.orders_known_at, orders, page.end);
    host.orders_known_at = std::max(host.orders_known_at, sent);
}

void coordinator_simulation::tell_orders(const simulated_host& from, simulated_host& to)
{
    if (!options_.evacuations || from.eras->era() != to.eras->era()) {
        return;
    }
    const auto told = from.view->evacuations().state(now_);
    to.view->evacuations().on_told(now_, told);
    if (told.read != 0) {
        to.orders_known_at = std::max(to.orders_known_at, from.orders_known_at);
    }
}

// ---- a data centre that comes back cold

void coordinator_simulation::lose_data_centre(const data_centre_id& it)
{
    const auto back = random_duration(seconds{1}, seconds{8});
    for (std::size_t s = 0; s < server_count; ++s) {
        if (servers_[s].data_centre != it || !servers_[s].up) {
            continue;
        }
        stop_server(s);
        const auto warm_up = random_duration(seconds{3}, seconds{15});
        schedule(back + random_duration(millis{0}, seconds{1}), [this, s, warm_up] {
            start_server(s);
            servers_[s].cold_until = now_ + warm_up;
        });
    }
    if (options_.counts != nullptr) {
        ++options_.counts->cold_returns;
    }
}

// ---- bursts

void coordinator_simulation::begin_burst()
{
    const auto first = static_cast<key_number>(65535 * uniform());
    const auto kind = uniform();
    const auto neighbours = static_cast<key_number>(std::min(first + 199, 65535));
    const auto keys = kind < 0.4   ? key_range{first, neighbours}
                      : kind < 0.7 ? key_range{first, first}
                                   : key_range{0, 65535};
    burst_ = {.keys = keys,
              .rate = 20 + 130 * uniform(),
              .end = now_ + random_duration(seconds{1}, seconds{6})};
    if (options_.counts != nullptr) {
        ++options_.counts->bursts;
    }
}

void coordinator_simulation::add_burst_load()
{
    if (burst_ && burst_->end <= now_) {
        burst_.reset();
    }
    if (!burst_ && uniform() < burst_rate) {
        begin_burst();
    }
    if (!burst_) {
        return;
    }
    constexpr int requests = 4;
    const auto each = burst_->rate * std::chrono::duration<double>(step).count() / requests;
    for (int n = 0; n < requests; ++n) {
        const auto key =
            static_cast<key_number>(burst_->keys.first + (burst_->keys.size() - 1) * uniform());
        for (auto& host : hosts_) {
            if (host.up && !host.suspended) {
                host.core->load().add(keyed_service, key, each, now_);
            }
        }
    }
}

} // namespace quincewing::testing
