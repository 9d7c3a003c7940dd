#pragma once

#include "quincewing/base/ids.hpp"

#include <cstddef>
#include <set>

namespace quincewing {

/// The servers that one request was sent to, and whether it may be sent once more.
class send_history
{
public:
    /// max_servers: servers that may run the request. keyed: only the owner of its key may.
    void set_limits(std::size_t max_servers, bool keyed);

    void on_send(const server_id& server);
    /// The request may have run there.
    void on_sent(const server_id& server) { may_have_run_.insert(server); }
    /// The server stated that it did not run the request.
    void on_not_run(const server_id& server) { may_have_run_.erase(server); }
    /// The server may be asked again, as it may own the key by then.
    void forget(const server_id& server) { tried_.erase(server); }

    [[nodiscard]] bool may_send_again() const;
    /// Whether a run at this server leaves the request within its number of servers.
    [[nodiscard]] bool may_run_at(const server_id& server) const;
    /// Whether a server is left to which it was not sent.
    [[nodiscard]] bool servers_left() const { return tried_.size() < max_servers_; }
    [[nodiscard]] const std::set<server_id>& tried() const { return tried_; }
    [[nodiscard]] int sends() const { return sends_; }

private:
    std::size_t max_servers_{1};
    bool keyed_{};
    std::set<server_id> tried_;
    std::set<server_id> may_have_run_;
    int sends_{};
};

} // namespace quincewing
