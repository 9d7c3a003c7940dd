#pragma once

#include "configuration_follower.hpp"
#include "coordinator_role.hpp"
#include "store_follower.hpp"

#include "quincewing/assignment/coordinator.hpp"
#include "quincewing/assignment/takeover_order.hpp"
#include "quincewing/entry/host_context.hpp"
#include "quincewing/logging/event_counts.hpp"
#include "quincewing/peers/peers_task.hpp"

#include <functional>
#include <map>
#include <memory>
#include <random>

namespace quincewing {

struct coordination_hooks
{
    /// The owner of some keys changed, or whether its grant is in force.
    std::function<void()> on_assignment_change;
    /// What the answer to a grant or release says of its server.
    std::function<void(const backend_server&, const server_notice&)> on_notice;
    /// What a grant or release that was begun at a time shows of the way to its server.
    std::function<void(const key_holder&, instant begun_at, call_way)> on_key_call;
    /// Another host knows a higher era of the store.
    std::function<void(store_era)> on_era_told;
};

/// Executes the effects of this host's coordinator. While this host coordinates, broadcasts the
/// assignment table, the servers and the configuration to the other hosts; otherwise applies what
/// the coordinating host sends.
class coordination_task
{
public:
    coordination_task(host_context context, peers_task& peers, store_follower& follower,
                      configuration_follower& configuration, coordination_hooks hooks);

    void tick(instant now);
    /// If this host coordinates, gives up its term in the store so that another host can take it.
    void stop(instant now);
    /// While it is set, another host is better placed to coordinate.
    void set_standing_aside(bool on);
    /// A much stronger host is there to coordinate.
    [[nodiscard]] bool should_yield(instant now) const;
    /// This host does not coordinate any more and waits for no append.
    [[nodiscard]] bool stopped() const { return core_.stopped(); }

    void on_servers_or_configuration(instant now);
    /// Tells the others at once, if this host coordinates.
    void on_evacuations(instant now);
    /// The store came back from an older copy, or its era is known for the first time.
    void on_store_era(instant now, store_era era);
    /// The servers' own limits changed.
    void on_limits();
    void on_host_connected(const peer_identity& host);

    void on_message(const host_id& from, const coordinator_beat& it);
    void on_message(const host_id& from, const news_request& it);
    void on_message(const host_id& from, const coordinator_news& it);
    void on_message(const host_id& from, const load_report& it);
    void on_message(const host_id& from, const term_given_up& it);
    void on_message(const host_id& from, const configuration_request& it);
    void on_message(const host_id& from, const configuration_reply& it);
    /// Asks another host for the configuration.
    void ask_for_configuration();

    /// Load statistics, reported to the coordinator: one request for the key; the time that a
    /// server took to answer one request.
    void record_request(const service_id& service, key_number key);
    void record_service_time(const server_id& server, duration took, std::uint32_t slowness);

    [[nodiscard]] const coordinator& core() const { return core_; }
    [[nodiscard]] coordinator_role role(instant now) const;
    /// The coordinator's last message and the store reads behind it are recent.
    [[nodiscard]] bool has_fresh_coordinator(instant now) const;

private:
    void execute_effects();
    void execute(const read_table& it);
    void execute(const append_table& it);
    void execute(const grant_keys& it);
    void execute(const release_keys& it);
    void execute(const identify_server& it);
    [[nodiscard]] std::string health_check_of(const service_id& service) const;
    void tell_notice(const key_holder& to, const key_call_result& result);
    void publish_table(instant now);
    void note_broadcast_base();
    void refresh_held(instant now);
    [[nodiscard]] coordinator_beat current_versions(instant now) const;
    void send_heartbeats(instant now);
    void send_state(const host_id& to, const news_request& known);
    void broadcast_changes(const coordinator_beat& current);
    void broadcast_if_changed();
    /// Whether the sender knows less than this host; raises the era that this host knows.
    bool outdated(const coordinator_beat& it);
    void apply_table_update(instant now, const coordinator_news& it);
    void apply_servers_update(const coordinator_news& it);
    /// Tells all hosts once this host's name is out of the table.
    void tell_if_given_up(bool coordinated);
    [[nodiscard]] log_offset told_offset(store_era era, std::uint64_t offset) const;
    /// age: microseconds since the read behind it, or unknown_age.
    void note_told_evacuations(instant now, store_era era, const evacuation_state& told,
                               std::uint64_t age);
    void note_told_configuration(instant now, const coordinator_beat& it);
    void send_load_report();
    void log_balance(instant now);
    [[nodiscard]] takeover_candidate own_candidacy() const;
    void update_takeover_order();

    host_context context_;
    peers_task& peers_;
    store_follower& follower_;
    configuration_follower& configuration_;
    coordination_hooks hooks_;
    coordinator core_;
    /// Of the connected hosts for which the order of takeovers was determined last.
    std::uint64_t order_version_{};
    bool stronger_linked_{};
    instant may_yield_after_{};
    /// A server was granted keys that it did not hold.
    bool newly_held_{};
    /// For each range of the table, 1 while the owner's grant is in force.
    std::vector<std::uint8_t> held_;
    std::uint64_t held_revision_{};
    std::uint64_t published_revision_{};
    std::uint64_t published_term_{};
    store_era published_era_;
    std::uint64_t published_held_{};
    /// This host has broadcast since it took the term.
    bool broadcasting_{};
    /// State of the last broadcast, the base of the next one's changes.
    coordinator_beat last_broadcast_;
    assignment_table broadcast_table_;
    backend_servers broadcast_servers_;
    std::vector<std::uint8_t> broadcast_held_;
    instant next_broadcast_{};
    instant next_heartbeat_{};
    instant next_load_report_{};
    instant next_balance_log_{};
    /// Grants and releases by their outcomes.
    event_counts key_calls_{"key_calls"};
    event_counts identifications_{"identifications"};
    /// Versions received last from the coordinator, the host that sent them, and when.
    coordinator_beat coordinator_versions_;
    host_id coordinator_host_;
    instant last_message_at_{};
    bool coordinator_fresh_{true};
    bool standing_aside_{};
    instant next_state_request_{};
    std::map<std::pair<service_id, key_number>, std::uint32_t> request_counts_;
    struct service_time_sum
    {
        std::uint64_t total_us{};
        std::uint64_t count{};
        /// The lowest; 0: none was told.
        std::uint32_t slowness{};
    };
    std::map<server_id, service_time_sum> service_times_;
    std::minstd_rand random_;
};

} // namespace quincewing
