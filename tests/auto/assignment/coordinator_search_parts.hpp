#pragma once

#include "quincewing/assignment/answer_order.hpp"
#include "quincewing/assignment/coordinator.hpp"
#include "quincewing/deployment/deployment_view.hpp"
#include "quincewing/deployment/store_era_gate.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// What the search of the coordinators simulates: servers, connections, hosts, and what is stored.
namespace quincewing::testing {

inline const service_id keyed_service{"keyed"};
/// Half of the servers belong to it where addresses are reused.
inline const service_id other_keyed_service{"keyed_too"};
constexpr millis step{25};
constexpr std::size_t host_count = 3;
constexpr std::size_t server_count = 4;
/// Servers are divided among them in turn, in schedules that have data centres.
inline const data_centre_id data_centres[] = {data_centre_id{"a"}, data_centre_id{"b"}};
/// The rate that a cold server takes.
inline const request_rate warm_up_rate{5};
constexpr key_number sample_keys[] = {0, 5000, 16383, 16384, 20000, 33000, 40000, 52000, 65535};

/// A backend server with its grants and the highest fence that it has seen, for each sampled key.
struct simulated_server
{
    struct grant
    {
        std::uint64_t fence{};
        instant until;
    };
    key_holder self;
    service_id service{keyed_service};
    /// What its newest entry says, where addresses are reused.
    key_holder registered;
    /// A new process writes its first entry then.
    instant registers_at{};
    bool up{true};
    bool cut_from_store{};
    instant entry_updated;
    std::map<key_number, std::uint64_t> highest_fences;
    std::map<key_number, grant> grants;
    /// Until when work runs on keys that were released.
    std::map<key_number, instant> work;
    /// Empty unless the schedule has data centres.
    data_centre_id data_centre;
    instant cold_until{};

    void clear_memory();
    void keep_working(const release_keys& it, instant work_end);
    [[nodiscard]] instant work_end(key_range keys) const;
    call_outcome on_grant(instant arrived, const grant_keys& it);
    void on_release(const release_keys& it);
    [[nodiscard]] bool holds(instant now, key_number key) const;
};

/// What the store holds at some moment.
struct stored_state
{
    instant at;
    std::optional<std::string> table;
    std::uint64_t end{};
    backend_servers entries;
    /// The newest order of the operators for each data centre; true: it is evacuated.
    std::map<data_centre_id, bool> orders;
    std::uint64_t orders_end{};
};

/// A connection of a host to a server that carries one call at a time.
struct simulated_connection
{
    struct call
    {
        call_number number;
        std::uint64_t newest_connection{};
        bool own_connection{};
        bool is_release{};
        instant deadline;
        /// Arrives at the server, which writes the answer of the call on the connection.
        std::function<void(std::uint64_t connection)> arrive;
    };
    std::size_t server{};
    std::size_t calls{};
    /// The server neither reads nor writes any more.
    bool stuck{};
    std::optional<call> under_way;
    std::deque<call> waiting;
    /// What the server wrote, without an outcome and a connection of its own.
    std::vector<key_answer> written;
};

struct simulated_host
{
    std::unique_ptr<coordinator> core;
    std::unique_ptr<store_era_gate> eras;
    store_api store;
    std::uint64_t incarnation{};
    bool up{true};
    bool suspended{};
    bool cut_from_store{};
    /// Calls reach the store, its answers are lost.
    bool cut_from_store_answers{};
    bool cut_from_hosts{};
    std::vector<bool> cut_from_server = std::vector<bool>(server_count);
    /// Number of the open connection to each server; 0 if there is none.
    std::vector<std::uint64_t> open_connections = std::vector<std::uint64_t>(server_count);
    /// By number, where servers write answers once more.
    std::map<std::uint64_t, simulated_connection> connections;
    answer_order order;
    backend_servers servers;
    /// Servers, orders and limits, as this process knows them.
    std::unique_ptr<deployment_view> view;
    bool order_read_pending{};
    instant next_order_read{};
    /// Up to then this process knows all orders.
    instant orders_known_at{};
};

} // namespace quincewing::testing
