#pragma once

#include "quincewing/entry/host_context.hpp"
#include "quincewing/membership/link_queue.hpp"
#include "quincewing/peers/peers_task.hpp"

#include <functional>

namespace quincewing {

/// Registers this entry host in the store and discovers the other entry hosts there.
class host_announcer
{
public:
    host_announcer(host_context context, peers_task& peers);

    void tick(instant now);
    /// The store came back from an older copy, which may lack this host's record and others'.
    void on_store_era(instant now);
    /// Links to a host that has opened a connection to here.
    void link_back(const peer_identity& visitor);
    /// Removes this host's record; done is called after the attempt, successful or not.
    void stop(std::function<void()> done);

private:
    void announce();
    void find_peers();

    host_context context_;
    peers_task& peers_;
    link_queue links_;
    bool announced_{};
    bool peers_found_{};
    bool call_pending_{};
    bool stopping_{};
    instant next_attempt_{};
};

} // namespace quincewing
