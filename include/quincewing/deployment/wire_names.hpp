#pragma once

#include <string>

namespace quincewing {

/// Names of the headers that callers, entry hosts and backend servers exchange.
struct wire_names
{
    /// Id of one attempt of a caller; servers send it back.
    std::string request_id;
    /// Milliseconds that the sender will wait.
    std::string time_left;
    /// Id of the only server that may run the request.
    std::string target_server;
    /// Present: the server did not run the request.
    std::string not_run;
    /// Requests running, waiting and slots of the server.
    std::string server_load;
    /// Key of the request, for keyed services.
    std::string key;
    /// The server's mark on its own answers.
    std::string response_signature;
    /// Path on which the balancer asks whether this host takes callers.
    std::string readiness_path;
};

} // namespace quincewing
