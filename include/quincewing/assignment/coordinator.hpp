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
    /// This host's process.
    host_id self;
    /// Validity of a grant while the store answers, and once it has not for `degraded_after`.
    duration grant_validity{seconds{4}};
    duration degraded_grant_validity{seconds{10}};
    /// Longest validity of a grant from any coordinator of the deployment.
    duration max_grant_validity{seconds{10}};
    /// Largest fraction by which a server's clock may run slow.
    double clock_drift{0.02};
    duration renew_interval{seconds{1}};
    /// Time after sending a read that confirmed this host's term for which the coordinator may act.
    duration read_validity{millis{2500}};
    duration read_interval{millis{800}};
    /// Age of the coordinator's last read above which its heartbeats do not count.
    duration max_heartbeat_read_age{millis{1500}};
    /// Age of the last read above which grants get the degraded validity.
    duration degraded_after{millis{1300}};
    duration grant_timeout{millis{800}};
    duration release_timeout{seconds{3}};
    /// Most calls that one tick starts. A burst of all renewals would occupy the host for longer
    /// than the timeout of a call.
    std::size_t max_calls_per_tick{100};
    /// Delay before an append is tried again that the store turned away; doubles up to the maximum.
    duration min_append_pause{millis{100}};
    duration max_append_pause{seconds{1}};
    /// Delay before a failed call is repeated.
    duration call_retry_delay{millis{150}};
    /// Interval between attempts to identify the process at a server's address.
    duration identify_interval{millis{300}};
    /// Time without heartbeats after which another host takes over the term.
    duration takeover_timeout{millis{1000}};
    /// A host that has just started takes no term for this time.
    duration takeover_start_delay{0};
    /// The deployment starts for the first time: a store without a table has lost none.
    bool first_start{true};
    /// The first assignment waits until the number of servers has not changed for this time, so
    /// that servers that start together all get keys.
    duration initial_assignment_delay{millis{1200}};
    /// Interval between plans of moves.
    duration balance_interval{millis{250}};
    balance_options balance;

    // Safety rules. Tests disable them one at a time to show that each is needed.
    bool release_with_new_fence{true};
    bool require_recent_read{true};
    bool wait_after_new_term{true};
    bool fences_above_earlier_eras{true};
    bool wait_in_new_era{true};
    bool prove_after_earlier_eras{true};
    bool heed_era_of_table{true};
    bool release_by_own_answer{true};
    bool release_by_token{true};
    bool identify_servers{true};
};

/// Why the previous owner of a range counts as not holding it any more.
enum class release_proof
{
    /// It answered the release with a handoff token.
    handoff,
    /// A server of another service, which knows no keys, has its address.
    other_service,
    /// The last grant that it may have had is over.
    expiry
};

const char* to_string(release_proof it);

/// Notifications for logs and counters.
struct coordinator_hooks
{
    std::function<void(const char* what, const assignment_table& table)> on_term_change;
    std::function<void(const assigned_range&)> on_move_started;
    /// The previous owner no longer holds the keys.
    std::function<void(const assigned_range&, release_proof)> on_released;
    std::function<void(const assigned_range&)> on_grant_fenced;
    /// The owner confirmed a grant of keys that it did not hold.
    std::function<void(const assigned_range&)> on_held;
};

/// Assigns keys to servers. Every host runs one; at most one in the deployment acts at a time.
/// Performs no I/O: the caller passes in events and the time, and carries out what take_effects()
/// returns. Times must come from a clock that keeps running while the host is suspended.
class coordinator
{
public:
    coordinator(coordinator_options options, coordinator_hooks hooks);

    // Events.
    /// sent: when the read was sent; end: offset after the last record of the stream.
    void on_table_read(instant sent, instant now, std::optional<assignment_table> table,
                       log_offset end);
    void on_table_unreadable(instant now);
    void on_append(instant now, append_number number, append_outcome outcome);
    /// The store has come back from an older copy, or its era is known for the first time. To be
    /// called before what an answer of that era holds is passed in.
    void on_store_era(instant now, store_era era);
    /// handoff: token of a release, may be empty; connection: the one that carried the call.
    void on_call(instant now, call_number number, call_outcome outcome, std::string handoff,
                 connection_number connection);
    /// Newest table of another host that coordinates, and the age of its last read of the store.
    void on_coordinator_heartbeat(instant now, const assignment_table& table, duration read_age);
    /// Registered servers and the services that have keys.
    void set_servers(instant now, const backend_servers& servers, std::set<service_id> keyed);
    /// The rates that servers take, of those that limit theirs.
    void set_rate_limits(std::map<server_id, request_rate> limits)
    {
        rate_limits_ = std::move(limits);
    }
    /// Another coordinator knows that the previous owner of the range no longer holds it.
    void note_released(const assigned_range& range);
    /// Position in the order in which hosts try to take over the term; 0 is first.
    void set_takeover_rank(std::size_t rank) { takeover_rank_ = rank; }
    /// While it is set, another host is better placed: gives up the term and takes none.
    void set_standing_aside(bool on) { standing_aside_ = on; }
    /// The coordinator of this term has given it up.
    void on_term_given_up(std::uint64_t term);
    /// Gives up the term, if this host has it, and takes no further one.
    void stop(instant now);
    void tick(instant now);

    std::vector<coordinator_effect> take_effects() { return std::exchange(effects_, {}); }

    // State.
    [[nodiscard]] bool coordinating() const { return coordinating_; }
    /// No coordinator is there, as far as this host knows, and it is the next to take the term.
    [[nodiscard]] bool next_to_coordinate(instant now) const;
    /// This host has the term and a recent read confirmed it: it may grant and move keys.
    [[nodiscard]] bool acting(instant now) const;
    [[nodiscard]] const assignment_table& table() const { return table_; }
    /// The owner confirmed a grant of the keys that is still valid.
    [[nodiscard]] bool held(instant now, const assigned_range& range) const;
    /// Utilization of the servers of a keyed service, in descending order.
    [[nodiscard]] std::vector<server_utilization>
    server_utilizations(const service_id& service) const;
    /// The store's era, as far as this host knows.
    [[nodiscard]] store_era era() const { return era_; }
    [[nodiscard]] load_map& load() { return load_; }
    /// When the newest read or append that confirmed this host's term was sent.
    [[nodiscard]] instant last_read() const { return last_read_; }
    [[nodiscard]] bool stopped() const { return stopping_ && !coordinating_ && !pending_append_; }

private:
    struct range_state
    {
        /// The previous owner no longer holds the keys.
        bool released{};
        bool call_pending{};
        bool needs_new_fence{};
        /// A grant under the current fence may have reached the server.
        bool maybe_granted{};
        /// In an unsettled table: nobody else was granted the keys in an earlier era.
        bool proven{};
        /// Connection of the last confirmed grant under the current fence.
        connection_number connection;
        /// The next answer on this connection decides whether the range is proven; 0: none.
        connection_number proof_connection;
        /// When the grant was sent whose answer waits for that one.
        instant proof_sent{};
        /// The last release got an answer that may be another call's.
        bool release_doubtful{};
        /// Handoff token of the previous owner's release; may be empty.
        std::string handoff;
        instant next_call{};
        instant granted_until{};
    };
    struct pending_call
    {
        service_id service;
        /// Fence and first key.
        std::pair<std::uint64_t, key_number> range;
        key_holder holder;
        instant sent{};
        /// Counted from the sending of the call.
        instant granted_until{};
        /// Whenever the call arrived, the server's grant has ended by then.
        instant latest_grant_end{};
        bool is_grant{};
        bool is_identification{};
    };

    /// What is known of the process at a server's address.
    struct server_identity
    {
        /// The server has told its id on this connection; 0: on none that is still open.
        connection_number connection;
        bool call_pending{};
        instant next_call{};
    };

    /// A grant names no server, so a server of another keyed service that listens at the address by
    /// now may accept it. With one keyed service there is no such server.
    [[nodiscard]] bool grants_may_go_astray() const
    {
        return options_.identify_servers && known_keyed_services_.size() > 1;
    }
    /// Newest connection that is certain to lead to the holder; 0: any, or none.
    [[nodiscard]] connection_number identified_connection(const key_holder& holder) const;
    /// Whether a grant that is no renewal is certain to reach no other server.
    [[nodiscard]] bool may_grant(const key_holder& holder) const;
    /// Asks the process at the owner's address for its id, unless it is known or was asked.
    void identify_owner(instant now, const assigned_range& range);
    void on_identification(instant now, const pending_call& call, call_outcome outcome,
                           connection_number connection);
    void forget_identity(const key_holder& holder);
    void forget_identities(connection_number connection);
    /// Whether the holder is registered, in the start that is meant.
    [[nodiscard]] bool registered(const key_holder& holder) const;
    range_state& state_of(const assigned_range& range);
    [[nodiscard]] const range_state* find_state(const assigned_range& range) const;
    void request_read(instant now);
    /// Whether a stored table is of the store's era, and no leftover of its copy.
    [[nodiscard]] bool of_current_era(const assignment_table& stored) const;
    /// What this host knows to be stored may be gone.
    void note_table_lost(instant now);
    /// The store holds only tables of earlier eras.
    void on_table_of_earlier_era(instant now, const assignment_table& stored);
    /// Stores the term of an earlier era again, as the first of this one.
    void resume_term(instant now);
    void on_term_resumed();
    /// Longest time since the last confirmed read after which the term may be resumed.
    [[nodiscard]] duration max_resume_age() const;
    /// Only grants that are certain to be the only ones may be renewed.
    [[nodiscard]] bool restricted() const;
    /// An accepted renewal shows that no coordinator of an earlier era gave the keys away.
    [[nodiscard]] bool proves_owner(const pending_call& grant) const;
    [[nodiscard]] bool may_advance(const range_state& state) const;
    [[nodiscard]] bool may_change(const assignment_table& table, const service_id& service,
                                  key_range keys) const;
    [[nodiscard]] std::uint64_t first_fence() const;
    /// All grants of earlier eras are over: the keys that were not proven get new fences.
    void settle(assignment_table& next) const;
    void adopt_table(assignment_table table);
    void carry_over_states(const assignment_table& next);
    [[nodiscard]] std::optional<range_state> carried_state(const assigned_range& range) const;
    /// All keys are in ranges whose state is proven.
    [[nodiscard]] bool all_proven(const service_id& service, key_range keys) const;
    /// Takes this host's name out of the table, unless an append is under way.
    void give_up_term(instant now);
    void append_vacancy(instant now);
    /// The stored table names this host, though it has given that term up.
    [[nodiscard]] bool given_up(const assignment_table& stored) const;
    void begin_term(instant now);
    void lose_term(const char* why);
    void start_append(instant now, assignment_table next);
    [[nodiscard]] bool may_append(instant now) const
    {
        return !pending_append_ && !read_before_append_ && now >= next_append_;
    }
    void try_takeover(instant now);
    /// How long after the last sign of a coordinator this host tries to take the term.
    [[nodiscard]] duration takeover_delay() const;
    void advance_ranges(instant now);
    void advance_range(instant now, const assigned_range& range);
    void on_grant(instant now, const assigned_range& range, const pending_call& call,
                  call_outcome outcome, connection_number connection);
    /// The answers on the connection may be those of earlier calls.
    void doubt_connection(instant now, connection_number connection);
    /// Decides the proofs that waited for an answer on the connection.
    void finish_proofs(connection_number connection, call_outcome next);
    void on_release(instant now, const assigned_range& range, call_outcome outcome,
                    std::string handoff);
    void release_previous_owner(instant now, const assigned_range& range, range_state& state);
    void grant_range(instant now, const assigned_range& range, range_state& state);
    void update_table(instant now);
    /// A change other than moves waits for an append.
    [[nodiscard]] bool has_unstored_change() const;
    bool apply_moves(instant now, assignment_table& next);
    void apply_move(assignment_table& next, const planned_move& move) const;
    /// The moves that the planner has to know of. Forgets older ones.
    std::vector<recent_move> recent_moves(instant now);
    /// Makes the server the owner, under a new fence.
    void take_over(assignment_table& next, assigned_range& range,
                   const backend_server& server) const;
    void merge_adjacent_ranges(assignment_table& next) const;
    bool clear_released_owners(assignment_table& next) const;
    bool assign_new_fences(assignment_table& next);
    [[nodiscard]] backend_servers ready_servers() const;
    [[nodiscard]] instant latest_grant_end(const key_holder& holder) const;
    [[nodiscard]] bool confirms_release(const assigned_range& range, call_outcome outcome,
                                        const std::string& handoff) const;
    [[nodiscard]] duration with_clock_drift(duration time) const;

    coordinator_options options_;
    coordinator_hooks hooks_;
    std::vector<coordinator_effect> effects_;
    assignment_table table_;
    log_offset end_;
    store_era era_;
    /// The era rose while this host ran.
    bool era_rose_{};
    /// No table of this era is known to be stored, though one was in an earlier era.
    bool table_lost_{};
    instant table_lost_at_{};
    /// From then on no coordinator of an earlier era acts, and none of its calls is under way.
    instant earlier_eras_end_{};
    bool table_known_{};
    bool coordinating_{};
    bool stopping_{};
    bool standing_aside_{};
    bool read_pending_{};
    bool after_clean_stop_{};
    /// The term that this host gave up last; 0: none. The store may not have taken that.
    std::uint64_t given_up_term_{};
    /// The append that gave it up got no answer and may still take effect.
    bool vacancy_may_arrive_{};
    /// The table names no coordinator.
    bool term_vacant_{};
    /// Table of the append whose outcome is not known yet.
    std::optional<assignment_table> pending_append_;
    append_number last_append_number_;
    bool append_outcome_unknown_{};
    /// The last append conflicted: what the stream holds has to be read first.
    bool read_before_append_{};
    /// Before this no append is begun, as the store turned the last one away.
    instant next_append_{};
    duration append_pause_{};
    /// The read under way is followed by an attempt to take over the term.
    bool takeover_pending_{};
    instant store_call_sent_{};
    instant last_read_{};
    instant last_heartbeat_{};
    /// When the host began to run.
    std::optional<instant> started_;
    /// Grants of earlier coordinators have ended by then.
    instant inherited_grants_end_{};
    instant next_balance_{};
    instant server_count_changed_at_{};
    instant release_pending_since_{};
    std::size_t takeover_rank_{};
    std::uint64_t next_call_number_{1};
    std::map<call_number, pending_call> calls_;
    /// By fence and first key.
    std::map<std::pair<std::uint64_t, key_number>, range_state> range_states_;
    /// Ranges, by fence and first key, whose previous owner is known not to hold them any more.
    std::set<std::pair<std::uint64_t, key_number>> known_released_;
    std::map<key_holder, instant> latest_grant_ends_;
    backend_servers servers_;
    /// Addresses with more than one entry. Only one of these servers can still listen there.
    std::set<std::string> shared_addresses_;
    std::map<key_holder, server_identity> identities_;
    std::set<service_id> keyed_services_;
    /// Services that have or had keys: their servers accept grants.
    std::set<service_id> known_keyed_services_;
    std::map<server_id, request_rate> rate_limits_;
    /// When keys were last moved.
    std::map<std::pair<service_id, key_range>, instant> moved_at_;
    load_map load_;
};

} // namespace quincewing
