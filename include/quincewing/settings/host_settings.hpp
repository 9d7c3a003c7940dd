#pragma once

#include "quincewing/base/ids.hpp"
#include "quincewing/base/time.hpp"
#include "quincewing/settings/settings_error.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace quincewing {

/// Weights by which the planner compares moves; each at least 0.
struct placement_weights
{
    double imbalance{1.0};
    double churn{1.0};
    double unavailable{1.0};
};

struct service_settings
{
    /// Divided by key: one owner for each key.
    bool keyed{true};
    std::uint64_t shards{64};
    /// Servers refuse requests and orders under an old fence.
    bool checks_fences{false};
    /// Requests that one server runs at once.
    std::uint64_t slots{2};
    /// Connections that one server takes in all.
    std::uint64_t connections{100};
    /// Deadline of a request that names none.
    duration deadline{seconds{2}};
    duration max_deadline{seconds{10}};
    duration grant_lease{seconds{1}};
    duration server_patience{seconds{1}};
    /// How long an idempotency key is remembered.
    duration ledger_window{seconds{600}};
    /// Refuse non-idempotent requests without an idempotency key.
    bool require_idempotency_key{false};
    /// Paths below these are of the class bulk.
    std::vector<std::string> bulk_paths;
    /// Host header that selects the service; empty when the path does.
    std::string host_name;
    /// Header that holds the key; empty when the path does.
    std::string key_header;
    placement_weights weights;
};

struct server_settings
{
    std::string service;
    std::string data_centre;
    std::string address;
};

struct platform_settings
{
    std::string address{"127.0.0.1:7000"};
    std::string stream{"quincewing"};
    /// Longest that a read waits for a new record.
    duration poll{millis{500}};
    duration timeout{seconds{1}};
    /// Appends a second of this host, and how many may come at once.
    std::uint64_t appends_per_second{4};
    std::uint64_t append_burst{40};
    /// Records are kept this long; snapshots are written well before.
    duration retention{seconds{24 * 3600}};
};

struct pair_settings
{
    duration lease{seconds{1}};
    duration drift_bound{millis{20}};
    duration beat{millis{250}};
    duration patience{millis{1050}};
    duration isolation_hold{seconds{3600}};
};

struct limit_settings
{
    std::uint64_t caller_connections{10'000};
    std::uint64_t request_body{1024UL * 1024};
    /// Bytes of an answer that wait in this host for a slow reader.
    std::uint64_t answer_buffer{256UL * 1024};
    duration caller_idle{seconds{120}};
    /// A request on a connection silent for longer than this opens a new one.
    duration fresh_connection{seconds{1}};
    /// Bytes of memory that the host may use; 0: not known.
    std::uint64_t memory{};
    /// Shares of it for what the connections of callers and of operators hold.
    double caller_memory{0.3};
    double operator_memory{0.1};
    /// Descriptors that the host may open; 0: as many as the system allows.
    std::uint64_t descriptors{};
    /// Shares of them for connections of callers and of operators.
    double caller_descriptors{0.6};
    double operator_descriptors{0.1};
};

/// Everything that one entry host is told before it starts.
struct host_settings
{
    /// Where the other entry hosts reach this one.
    std::string address{"127.0.0.1:7100"};
    /// Where this one listens for them; empty for the same address.
    std::string listen;
    std::string callers{"127.0.0.1:8100"};
    std::string operators{"127.0.0.1:9100"};
    std::string data_centre;
    /// Other entry hosts to start with; the platform's list adds to these.
    std::vector<std::string> peers;
    /// Folder for log files; empty for the standard error stream.
    std::string log_folder;
    /// Longest that a stop waits for requests in flight.
    duration stop_within{seconds{20}};
    /// Time after a stop was asked for in which /ready says no and requests are still taken, for
    /// the balancer to notice.
    duration stop_notice{seconds{2}};
    platform_settings platform;
    pair_settings pair;
    limit_settings limits;
    std::map<std::string, service_settings> services;
    std::map<std::string, server_settings> servers;
};

/// The settings, or everything that is wrong with them.
tl::expected<host_settings, std::vector<settings_error>> read_settings(const std::string& name,
                                                                       const std::string& text);
/// The same from a file.
tl::expected<host_settings, std::vector<settings_error>>
read_settings_file(const std::string& path);

} // namespace quincewing
