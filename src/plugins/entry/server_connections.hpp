#pragma once

#include "server_connection.hpp"

#include "quincewing/entry/host_context.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace quincewing {

/// Pool of idle connections to the backend servers.
class server_connections
{
public:
    explicit server_connections(host_context context);

    /// Time without an acknowledgement after which a connection with a request breaks. may_repeat:
    /// the request can be sent to another server.
    static duration silence_timeout(bool may_repeat, std::size_t body_bytes);
    /// Takes an idle connection that was used within max_idle and on which the request was not
    /// refused, or opens a new one.
    std::unique_ptr<server_connection> acquire(const std::string& address, duration max_idle,
                                               std::uint64_t request);
    /// Whether there is an idle connection that was used within max_idle.
    [[nodiscard]] bool has_idle(const std::string& address, duration max_idle) const;
    /// Closes the idle connections to an address that have carried nothing since.
    void drop_unused_since(const std::string& address, instant since);
    /// Returns a connection to the pool.
    void release(std::unique_ptr<server_connection> it);
    /// Destroys a connection later, since the caller may be inside one of its hooks.
    void discard(std::unique_ptr<server_connection> it);
    void tick(instant now);

    [[nodiscard]] std::size_t idle_count() const;

private:
    [[nodiscard]] static bool expired(instant now, const server_connection& it);
    [[nodiscard]] static bool usable(instant now, const server_connection& it, duration max_idle);

    host_context context_;
    std::map<std::string, std::vector<std::unique_ptr<server_connection>>> idle_;
    std::vector<std::unique_ptr<server_connection>> discarded_;
    timer discard_timer_;
    std::uint64_t& opened_total_;
};

} // namespace quincewing
