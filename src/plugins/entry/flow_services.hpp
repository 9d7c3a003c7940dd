#pragma once

#include "quincewing/assignment/assignment_table.hpp"
#include "quincewing/base/ids.hpp"
#include "quincewing/dispatch/shared_retry_budget.hpp"

#include <functional>
#include <map>

namespace quincewing {

class dispatch_task;
class server_connections;

/// What the flows of all requests of a host share.
struct flow_services
{
    dispatch_task& dispatch;
    server_connections& connections;
    /// Entry hosts of the deployment, as far as they are known here.
    std::function<std::size_t()> host_count;
    /// Budgets by service.
    std::function<shared_retry_budget&(const service_id&)> budget;
    /// Usual size of a route's answers in bytes, by name of the route.
    std::map<std::string, double> response_sizes;
    std::function<void(const service_id&, key_number)> record_request;
    std::function<void(const server_id&, duration)> record_work;
};

} // namespace quincewing
