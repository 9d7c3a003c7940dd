#include "silent_connections.hpp"

#include <utility>

namespace quincewing {

silent_connections::silent_connections(event_loop& loop)
    : remove_timer_(loop, [this] {
          kept_.remove_if([](const kept& it) {
              return it.connection->idle() || it.connection->http().closed();
          });
      })
{
}

// A host whose loop is late, or whose path is full, is silent as well: the server may be at work.
void silent_connections::keep(const host_id& host, std::unique_ptr<peer_connection> it)
{
    auto& connection = *it;
    connection.set_hooks({.on_closed = [this](int) { remove_timer_.soon(); },
                          .on_idle = [this] { remove_timer_.soon(); }});
    kept_.push_back({.host = host, .connection = std::move(it)});
    connection.fail_repeatable();
}

void silent_connections::fail(const host_id& host)
{
    for (auto& it : kept_) {
        if (it.host == host) {
            it.connection->http().fail(0);
        }
    }
}

} // namespace quincewing
