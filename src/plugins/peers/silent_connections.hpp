#pragma once

#include "peer_connection.hpp"

#include <cstddef>
#include <list>
#include <memory>

namespace quincewing {

/// Connections on which another host went silent, each kept until the requests that were handed
/// over on it have ended or it breaks. There are never more of them than such requests.
class silent_connections
{
public:
    explicit silent_connections(event_loop& loop);

    /// host: who answered on it.
    void keep(const host_id& host, std::unique_ptr<peer_connection> it);
    /// The host's process is known to be gone.
    void fail(const host_id& host);
    [[nodiscard]] std::size_t size() const { return kept_.size(); }

private:
    struct kept
    {
        host_id host;
        std::unique_ptr<peer_connection> connection;
    };

    std::list<kept> kept_;
    timer remove_timer_;
};

} // namespace quincewing
