#pragma once

#include "quincewing/deployment/deployment_api.hpp"

#include <memory>
#include <string>

namespace quincewing {

class call_pool;
class event_loop;

struct adapter_options
{
    /// "ip:port" of the platform's store.
    std::string store;
    /// Timeout of a call to the store.
    duration store_timeout{millis{900}};
    /// The same of a call that reads the configuration at once, which may be large.
    duration configuration_timeout{seconds{2}};
    /// The ip that calls to servers leave from; empty: the system's choice.
    std::string servers_from;
};

/// Creates the operations on the users' platform. The loop must outlive the result.
deployment_api make_platform_adapter(event_loop& loop, const adapter_options& options);

} // namespace quincewing
