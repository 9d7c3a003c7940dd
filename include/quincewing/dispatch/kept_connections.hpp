#pragma once

#include "quincewing/base/ids.hpp"
#include "quincewing/base/time.hpp"

#include <cstddef>
#include <map>
#include <vector>

namespace quincewing {

struct kept_connections_options
{
    /// For how long a connection is taken to stand after an answer. Hosts send what must not run
    /// twice on fresh connections only, and servers close idle ones.
    duration memory{millis{2800}};
    /// Idle connections that a host keeps to one server.
    std::size_t max_idle{3};
};

/// Which hosts are likely to have an idle connection to which server, from the answers that they
/// reported: a new connection costs the server time and may hold a slot for a moment. Reads no
/// clock.
class kept_connections
{
public:
    explicit kept_connections(kept_connections_options options = {}) : options_(options) {}

    /// The host got an answer of the server.
    void on_answered(instant now, const host_id& host, const server_id& server);
    /// The host sends a request to the server, and uses a connection if it has one.
    void on_granted(instant now, const host_id& host, const server_id& server);
    /// The servers to which the host has an idle connection.
    [[nodiscard]] std::vector<server_id> servers_of(instant now, const host_id& host) const;
    void forget(const host_id& host) { hosts_.erase(host); }

private:
    /// When the idle connections were used last, in ascending order.
    using idle_times = std::vector<instant>;

    void drop_old(instant now, idle_times& times) const;

    kept_connections_options options_;
    std::map<host_id, std::map<server_id, idle_times>> hosts_;
};

} // namespace quincewing
