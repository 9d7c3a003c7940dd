#pragma once

#include "quincewing/entry/host_context.hpp"
#include "quincewing/http/client_connection.hpp"

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace quincewing {

/// Idle connections of this host to the backend servers.
class server_connections
{
public:
    explicit server_connections(host_context context);

    /// A connection to the server; a new one if none is idle. An idle one that was used longer
    /// ago than this is not taken.
    std::unique_ptr<client_connection> acquire(const std::string& address, duration longest_idle);
    /// Keeps a connection for the next request.
    void release(std::unique_ptr<client_connection> it);
    /// Destroys a connection, after the present call has returned.
    void discard(std::unique_ptr<client_connection> it);
    void tick(instant now);

    [[nodiscard]] std::size_t idle() const;

private:
    [[nodiscard]] static bool stale(instant now, const client_connection& it);

    host_context context_;
    std::map<std::string, std::vector<std::unique_ptr<client_connection>>> idle_;
    std::vector<std::unique_ptr<client_connection>> discarded_;
    timer discard_timer_;
    std::uint64_t& opened_;
};

} // namespace quincewing
