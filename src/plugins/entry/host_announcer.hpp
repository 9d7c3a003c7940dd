#pragma once

#include "quincewing/entry/host_context.hpp"
#include "quincewing/peers/peers_task.hpp"

#include <functional>

namespace quincewing {

/// Registers this entry host in the store and discovers the other entry hosts there.
class host_announcer
{
public:
    host_announcer(host_context context, peers_task& peers);

    void tick(instant now);
    /// Removes this host's record; done is called after the attempt, successful or not.
    void stop(std::function<void()> done);

private:
    void announce();
    void find_peers();

    host_context context_;
    peers_task& peers_;
    bool announced_{};
    bool peers_found_{};
    bool call_pending_{};
    bool stopping_{};
    instant next_attempt_{};
};

} // namespace quincewing
