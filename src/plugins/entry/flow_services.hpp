#pragma once

#include "large_answers.hpp"
#include "request_ends.hpp"

#include "quincewing/assignment/assignment_table.hpp"
#include "quincewing/base/ids.hpp"
#include "quincewing/deployment/server_notice.hpp"
#include "quincewing/dispatch/shared_retry_budget.hpp"
#include "quincewing/logging/event_counts.hpp"
#include "quincewing/routing/backend_server.hpp"

#include <functional>
#include <map>

namespace quincewing {

class crash_exchange;
class dispatch_task;
class peers_task;
class reach_task;
class server_connections;

/// State and services shared by all request flows of a host.
struct flow_services
{
    dispatch_task& dispatch;
    server_connections& connections;
    peers_task& peers;
    reach_task& reach;
    /// Number of entry hosts that this host knows of, itself and those out of reach included.
    std::function<std::size_t()> host_count;
    /// The retry budget of a service.
    std::function<shared_retry_budget&(const service_id&)> budget;
    /// What the fleet knows of requests that crash servers.
    crash_exchange& crashes;
    /// False once the host is about to end: requests that are not at a server are refused. Ask it
    /// right before each send.
    std::function<bool()> may_start_requests;
    /// Moving average of response body sizes in bytes, by route name.
    std::map<std::string, double> response_sizes;
    large_answers large;
    /// Counts a request for a key, for load balancing.
    std::function<void(const service_id&, key_number)> record_request;
    /// Records what an answer says of its server; see server_conditions::on_notice.
    std::function<void(const backend_server&, instant sent_at, const server_notice&)> on_notice;
    /// Records the response time of a server, and the slowness that it told.
    std::function<void(const server_id&, duration, std::uint32_t slowness)> record_service_time;
    request_ends ends;
    /// Sends by way of other hosts, by what became of them.
    event_counts relays{"relays"};
};

} // namespace quincewing
