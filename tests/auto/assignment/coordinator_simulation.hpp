#pragma once

#include "coordinator_search.hpp"
#include "coordinator_search_parts.hpp"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_01.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace quincewing::testing {

/// One schedule of search_coordinators.
class coordinator_simulation
{
public:
    coordinator_simulation(std::uint64_t seed, const search_options& options);
    std::optional<std::string> run();

private:
    struct event
    {
        instant at;
        std::uint64_t sequence{};
        std::function<void()> run;
        bool operator>(const event& other) const
        {
            return std::tie(at, sequence) > std::tie(other.at, other.sequence);
        }
    };
    struct last_grant
    {
        key_holder holder;
        std::uint64_t fence{};
    };

    double uniform() { return boost::random::uniform_01<>{}(random_); }
    duration random_duration(duration least, duration most)
    {
        return least + std::chrono::duration_cast<duration>((most - least) * uniform());
    }
    void schedule(duration after, std::function<void()> run)
    {
        events_.push({now_ + after, next_sequence_++, std::move(run)});
    }
    void begin_faults();
    void run_events();
    [[nodiscard]] std::optional<std::string> find_violation() const;
    [[nodiscard]] std::optional<std::string> find_shared_key(const service_id& service) const;

    [[nodiscard]] bool has_data_centres() const
    {
        return options_.evacuations || options_.cold_returns;
    }

    // ---- hosts

    void start_host(std::size_t i);
    void tick(std::size_t i);
    void send_heartbeats(std::size_t from);
    /// Delivers an answer to a host. A suspended host gets it after the suspension, a restarted one
    /// does not get it.
    void answer(std::size_t i, std::uint64_t incarnation,
                const std::function<void(coordinator&, instant)>& act);
    void carry_out(std::size_t i);

    // ---- the store

    void carry_out(std::size_t i, const read_table&);
    void carry_out(std::size_t i, const append_table& it);
    static append_outcome outcome_of(store_status it);
    /// The store as one process of a host reaches it.
    store_api make_store(std::size_t i, std::uint64_t incarnation);
    template <class Result>
    void answer_store_call(std::size_t i, std::uint64_t incarnation, duration after,
                           const std::function<void(Result)>& done, const Result& result);
    [[nodiscard]] bool store_away() const { return store_down_ || drill_under_way_; }
    [[nodiscard]] store_page page_of(store_stream stream) const;
    void read_store(std::size_t i, std::uint64_t incarnation, store_stream stream,
                    const std::function<void(store_page)>& done);
    void append_to_store(std::size_t i, std::uint64_t incarnation, const std::string& table,
                         log_offset at, const std::function<void(store_append_result)>& done);
    void keep_state();
    /// The store goes away and comes back as it was some seconds before.
    void begin_drill();

    // ---- servers

    simulated_server* server_at(const key_holder& holder);
    static std::uint64_t connection_limit(const grant_keys& it);
    static std::uint64_t connection_limit(const release_keys&) { return 0; }
    static std::uint64_t connection_limit(const identify_server&) { return 0; }
    void schedule_call_answer(std::size_t i, std::uint64_t incarnation, call_number number,
                              duration after, call_outcome outcome, std::uint64_t connection);
    void carry_out(std::size_t i, const grant_keys& it) { send_call(i, it); }
    void carry_out(std::size_t i, const release_keys& it) { send_call(i, it); }
    void carry_out(std::size_t i, const identify_server& it) { send_call(i, it); }
    template <class Call>
    void send_call(std::size_t i, const Call& it);
    call_outcome apply(simulated_server& server, instant arrived, const grant_keys& it);
    void check_fence(const simulated_server& server, const grant_keys& it);
    call_outcome apply(simulated_server& server, instant, const release_keys& it);
    call_outcome apply(simulated_server& server, instant, const identify_server& it);
    void update_server_entries();

    // ---- addresses that go to another server

    void reuse_address();
    void start_server_at(std::size_t s, const std::string& address);
    /// The coordinator gives its term up, or its process ends.
    void disturb_coordinator();

    // ---- connections on which answers are written once more

    static bool own_connection(const grant_keys&) { return false; }
    static bool own_connection(const release_keys& it) { return it.own_connection; }
    static bool own_connection(const identify_server&) { return false; }
    template <class Call>
    simulated_connection::call to_call(std::size_t i, std::size_t index, const Call& it);
    /// Finds a connection for a call, or opens one.
    void assign(std::size_t i, std::size_t server, simulated_connection::call call);
    void start_next(std::size_t i, std::uint64_t number);
    void report(std::size_t i, call_number call, const key_answer& it);
    /// Calls that wait on the connection look for another one.
    void close_connection(std::size_t i, std::uint64_t number);
    template <class Call>
    void arrive(std::size_t i, std::size_t index, std::uint64_t to, const Call& it);
    void note_written(std::size_t i, std::uint64_t to, const key_answer& it);
    [[nodiscard]] double repeat_rate() const;
    template <class Call>
    [[nodiscard]] duration work_left(const simulated_server& server, const Call& it) const;
    key_answer run(simulated_server& server, const grant_keys& it);
    key_answer run(simulated_server& server, const release_keys& it);
    key_answer run(simulated_server& server, const identify_server& it);
    void write(std::size_t i, std::uint64_t to, const key_answer& it, duration after);
    void on_answer(std::size_t i, std::uint64_t number, key_answer it);

    // ---- faults

    void schedule_fault_end(duration least, duration most, std::function<void()> end);
    /// Whatever is wrong now is over by then.
    void note_disturbed_until(instant it);
    void inject_fault();
    void make_host_stand_aside();
    void suspend_host(std::size_t i);
    void crash_host(std::size_t i);
    void restart_server(std::size_t s);
    void stop_server(std::size_t s);
    void start_server(std::size_t s);

    // ---- data centres and bursts

    [[nodiscard]] std::unique_ptr<deployment_view> make_view() const;
    /// In microseconds.
    [[nodiscard]] std::uint64_t warm_up_left(const simulated_server& it) const;
    void change_data_centres();
    /// An operator evacuates the data centre or takes it back.
    void store_order(const data_centre_id& data_centre, bool evacuated);
    void lose_data_centre(const data_centre_id& it);
    void begin_burst();
    /// Begins bursts, and counts the requests of the present one at all hosts.
    void add_burst_load();
    void read_orders(std::size_t i);
    void on_orders(std::size_t i, instant sent, const store_page& page);
    void tell_orders(const simulated_host& from, simulated_host& to);
    [[nodiscard]] backend_servers servers_for_planner(std::size_t i) const;

    // ---- checks of data centres

    [[nodiscard]] bool cold(const simulated_server& it) const { return now_ < it.cold_until; }
    /// A server outside the data centre could take keys.
    [[nodiscard]] bool has_room_outside(const data_centre_id& evacuated) const;
    [[nodiscard]] bool evacuated(const data_centre_id& it) const;
    void check_evacuations();
    /// What the data centre still owns: keys of the stored table, and grants in force.
    [[nodiscard]] std::optional<std::string> find_owned_in(const data_centre_id& it);
    /// No cold server gains keys beyond its rate that a warm one could have taken. next: the table
    /// that the host is about to store.
    void check_cold_servers(std::size_t i, const assignment_table& next);
    /// Requests per second of these keys, as the host's planner estimates them.
    [[nodiscard]] double rate_of(std::size_t i, key_range keys) const;
    [[nodiscard]] double rate_of(std::size_t i, const key_holder& owner,
                                 const assignment_table& table) const;
    [[nodiscard]] std::optional<double> rate_gained(std::size_t i, const key_holder& by,
                                                    const assignment_table& next) const;
    [[nodiscard]] const backend_server* find_warm_with_room(std::size_t i, double rate,
                                                            const assignment_table& next) const;

    search_options options_;
    boost::random::mt19937_64 random_;
    std::map<std::pair<service_id, key_number>, last_grant> last_grants_;
    std::optional<std::string> violation_;
    std::vector<simulated_host> hosts_;
    std::vector<simulated_server> servers_;
    instant now_{seconds{100}};
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::uint64_t next_sequence_{};
    std::uint64_t last_connection_{};
    stored_state stored_;
    /// What was stored, by time; a drill goes back in it.
    std::vector<stored_state> history_;
    store_era era_{1};
    bool store_down_{};
    bool drill_under_way_{};
    /// Until then the store shows the servers' entries as they were in the copy.
    instant entries_written_again_{};
    double answer_loss_rate_{};
    double late_call_rate_{};
    bool many_repeats_{};
    std::uint64_t last_token_{};
    std::uint64_t last_address_{};
    /// From then on no faults begin.
    instant faults_end_{};
    /// When the last fault that began is over, with the grants that it left behind.
    instant recovered_at_{};
    struct burst
    {
        key_range keys;
        /// Requests per second for all of the keys.
        double rate{};
        instant end;
    };
    std::optional<burst> burst_;
    /// The last moment at which the data centre was in use, or its keys had nowhere to go.
    std::map<data_centre_id, instant> bound_begins_;
    /// Data centres that were checked since they were evacuated.
    std::set<data_centre_id> checked_;
    /// The stored table that was decoded last for the checks.
    std::string checked_data_;
    assignment_table checked_table_;
};

} // namespace quincewing::testing
