#pragma once

#include "quincewing/assignment/balance_planner.hpp"
#include "quincewing/assignment/coordinator_effects.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace quincewing {

struct coordinator_options
{
    host_id self;
    /// Length of a grant while the store answers, and while that is in doubt.
    duration grant_validity{seconds{4}};
    duration degraded_grant_validity{seconds{10}};
    /// Longest grant that any coordinator gives.
    duration max_grant_validity{seconds{10}};
    /// A server's clock may run slow by this share.
    double clock_drift{0.02};
    duration renew_every{seconds{1}};
    /// A read that shows the own term lets the coordinator act for so long after it was sent.
    duration read_validity{millis{2500}};
    duration read_every{millis{800}};
    /// Hosts take the coordinator for silent when its last read is older than this.
    duration sign_validity{millis{1500}};
    /// A read older than this puts the store in doubt.
    duration doubt_after{millis{1300}};
    duration grant_timeout{millis{800}};
    duration release_timeout{seconds{3}};
    /// Pause before a call that failed is made again.
    duration call_again{millis{150}};
    /// Silence of the coordinator after which another host takes the term.
    duration patience{millis{1000}};
    /// Servers that are announced within this time of the first take part in the first spread.
    duration first_spread_wait{millis{1200}};
    /// How often hot keys are looked for.
    duration balance_every{millis{250}};
    balance_options balance;

    // Each false leaves a rule out; the randomised search shows that it is needed.
    bool release_with_new_fence{true};
    bool bound_by_reads{true};
    bool wait_after_new_term{true};
};

/// What happened in the coordinator, for logs and counters.
struct coordinator_hooks
{
    std::function<void(const char* what, const assignment_table& table)> on_term_change;
    std::function<void(const assigned_range&)> on_move_started;
    std::function<void(const assigned_range&, bool with_handoff)> on_released;
    std::function<void(const assigned_range&)> on_grant_fenced;
};

/// Decides who holds which keys, as at most one host of the deployment may at a time. Pure: the
/// owner feeds it events and the time, and carries out what take_effects() returns.
/// Times are on a clock that goes on while the host is suspended.
class coordinator
{
public:
    coordinator(coordinator_options options, coordinator_hooks hooks);

    // Events.
    void on_table_read(instant sent, instant now, std::optional<assignment_table> table,
                       log_offset end);
    void on_table_unreadable(instant now);
    void on_append(instant now, append_outcome outcome);
    /// connection carried the call.
    void on_call(instant now, call_number number, call_outcome outcome, std::string handoff,
                 connection_number connection);
    /// Another host's newest table, and how old its own knowledge of the store was on arrival.
    void on_coordinator_heartbeat(instant now, const assignment_table& table, duration read_age);
    /// Announced servers, keyed services.
    void set_servers(instant now, const backend_servers& servers, std::set<service_id> keyed);
    /// Another coordinator had the proof that the range's previous holder has it no more.
    void note_released(const assigned_range& range);
    /// Position among the hosts that may take the term, 0 first.
    void set_takeover_rank(std::size_t rank) { rank_ = rank; }
    /// No new term for this host, and the present one is given up in order.
    void stop(instant now);
    void tick(instant now);

    std::vector<coordinator_effect> take_effects() { return std::exchange(effects_, {}); }

    // State.
    [[nodiscard]] bool coordinating() const { return coordinating_; }
    /// May give and move keys now.
    [[nodiscard]] bool acting(instant now) const;
    [[nodiscard]] const assignment_table& table() const { return table_; }
    /// The keys were granted to their owner and the grant is not over.
    [[nodiscard]] bool held(instant now, const assigned_range& range) const;
    /// How busy the servers of a keyed service are; the busiest first.
    [[nodiscard]] std::vector<server_utilization>
    server_utilizations(const service_id& service) const;
    [[nodiscard]] load_map& load() { return load_; }
    /// Since when the own term is in force, or the last read of the store.
    [[nodiscard]] instant last_read() const { return last_read_; }
    [[nodiscard]] bool stopped() const { return stopping_ && !coordinating_ && !append_; }

private:
    struct range_state
    {
        bool proved{};
        bool busy{};
        bool needs_fence{};
        /// A grant under the present fence may have arrived.
        bool sent{};
        /// Carried the last grant under the present fence that was confirmed.
        connection_number connection;
        std::string handoff;
        instant next_call{};
        instant held_until{};
    };
    struct pending_call
    {
        std::pair<std::uint64_t, key_number> range;
        key_holder holder;
        instant held_until{};
        /// The grant is over by then, wherever its bytes were.
        instant last_effect{};
        bool grant{};
    };

    range_state& state_of(const assigned_range& it);
    [[nodiscard]] const range_state* find_state(const assigned_range& it) const;
    void read_now(instant now);
    void adopt(assignment_table table);
    void carry_over(const assignment_table& next);
    void begin_term(instant now);
    void lose_term(const char* why);
    void start_append(instant now, assignment_table next);
    void try_to_take_term(instant now);
    void drive_range(instant now, const assigned_range& it);
    void prove(instant now, const assigned_range& it, range_state& state);
    void grant(instant now, const assigned_range& it, range_state& state);
    void change_table(instant now);
    bool apply_moves(instant now, assignment_table& next);
    void apply_move(assignment_table& next, const planned_move& move) const;
    static void merge(assignment_table& next);
    bool settle(assignment_table& next) const;
    bool refence(assignment_table& next);
    [[nodiscard]] backend_servers ready_servers() const;
    [[nodiscard]] instant hold_end(const key_holder& holder) const;
    [[nodiscard]] bool proves_end(const assigned_range& range, call_outcome outcome) const;
    [[nodiscard]] duration stretched(duration hold) const;

    coordinator_options options_;
    coordinator_hooks hooks_;
    std::vector<coordinator_effect> effects_;
    assignment_table table_;
    log_offset end_;
    bool table_known_{};
    bool coordinating_{};
    bool stopping_{};
    bool reading_{};
    bool after_clean_stop_{};
    bool vacant_{};
    /// Table of an append without a final answer.
    std::optional<assignment_table> append_;
    bool append_unknown_{};
    bool term_wanted_{};
    instant read_sent_{};
    instant last_read_{};
    instant sign_{};
    instant inherited_hold_end_{};
    instant next_balance_{};
    instant servers_since_{};
    instant unsettled_since_{};
    std::size_t rank_{};
    std::uint64_t next_call_{1};
    std::map<call_number, pending_call> calls_;
    std::map<std::pair<std::uint64_t, key_number>, range_state> states_;
    /// Ranges, by fence and first key, whose previous holder is known to have them no more.
    std::set<std::pair<std::uint64_t, key_number>> known_proved_;
    std::map<key_holder, instant> hold_ends_;
    backend_servers servers_;
    std::set<service_id> keyed_;
    load_map load_;
};

} // namespace quincewing
