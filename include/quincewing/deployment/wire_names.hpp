#pragma once

#include <string>

namespace quincewing {

/// The platform's names of the headers that callers, entry hosts and backend servers exchange.
struct wire_names
{
    /// Id of one attempt of a caller; servers echo it.
    std::string request_id;
    /// Milliseconds for which the sender waits.
    std::string time_left;
    /// Id of the only server that may run the request.
    std::string target_server;
    /// Present when the server did not run the request.
    std::string not_run;
    /// Key of the request, for keyed services.
    std::string key;
    /// Signature that a server puts on its own answers.
    std::string response_signature;
    /// Path on which the load balancer asks whether this host accepts callers.
    std::string readiness_path;
};

} // namespace quincewing
