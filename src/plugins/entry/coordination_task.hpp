#pragma once

#include "store_follower.hpp"

#include "quincewing/assignment/coordinator.hpp"
#include "quincewing/entry/host_context.hpp"
#include "quincewing/peers/peers_task.hpp"

#include <functional>
#include <map>
#include <memory>

namespace quincewing {

struct coordination_hooks
{
    /// Owners or grants of keys changed.
    std::function<void()> on_table;
};

/// Carries out what the coordinator decides, and spreads what it knows to the other hosts.
class coordination_task
{
public:
    coordination_task(host_context context, peers_task& peers, store_follower& follower,
                      coordination_hooks hooks);

    void tick(instant now);
    /// Gives the term up in order, if this host has it.
    void stop(instant now);
    /// Nothing is left to give up.
    [[nodiscard]] bool stopped() const { return core_.stopped(); }

    void on_servers_or_configuration(instant now);
    void on_host_connected(const host_id& host);

    void on_message(const host_id& from, const coordinator_beat& it);
    void on_message(const host_id& from, const news_request& it);
    void on_message(const host_id& from, const coordinator_news& it);
    void on_message(const host_id& from, const load_report& it);

    /// A request for the key, and what a server took for one; told to the coordinator.
    void note_request(const service_id& service, key_number key);
    void note_work(const server_id& server, duration took);

    [[nodiscard]] const coordinator& core() const { return core_; }
    /// The coordinator was heard from lately and its knowledge is fresh.
    [[nodiscard]] bool hears_coordinator(instant now) const;

private:
    void carry_out();
    void carry_out(const read_table& it);
    void carry_out(const append_table& it);
    void carry_out(const grant_keys& it);
    void carry_out(const release_keys& it);
    void publish_table(instant now);
    void refresh_held(instant now);
    [[nodiscard]] coordinator_beat versions(instant now) const;
    void send_beats(instant now);
    void send_all(const host_id& to);
    void send_changes(const coordinator_beat& now);
    void spread_changes();
    void take_table(instant now, const coordinator_news& it);
    void take_servers(const coordinator_news& it);
    void send_report();
    void log_balance(instant now);
    [[nodiscard]] std::size_t rank() const;

    host_context context_;
    peers_task& peers_;
    store_follower& follower_;
    coordination_hooks hooks_;
    coordinator core_;
    std::vector<std::uint8_t> held_;
    std::uint64_t held_revision_{};
    std::uint64_t published_table_{};
    std::uint64_t published_term_{};
    std::uint64_t published_held_{};
    /// What all hosts were told last; changes are told against it.
    coordinator_beat spread_;
    assignment_table spread_table_;
    backend_servers spread_servers_;
    std::vector<std::uint8_t> spread_held_;
    instant next_spread_{};
    instant next_beat_{};
    instant next_report_{};
    instant next_balance_log_{};
    /// What the coordinator told last, and when.
    coordinator_beat heard_;
    host_id heard_from_;
    instant heard_at_{};
    bool hears_{true};
    instant next_request_{};
    std::map<std::pair<service_id, key_number>, std::uint32_t> requests_;
    struct work_sum
    {
        std::uint64_t us{};
        std::uint64_t n{};
    };
    std::map<server_id, work_sum> work_;
};

} // namespace quincewing
