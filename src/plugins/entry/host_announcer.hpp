#pragma once

#include "quincewing/entry/host_context.hpp"
#include "quincewing/peers/peers_task.hpp"

#include <functional>

namespace quincewing {

/// Tells the other entry hosts of this one, and finds them, through the store.
class host_announcer
{
public:
    host_announcer(host_context context, peers_task& peers);

    void tick(instant now);
    /// Removes this host's record; done is called when that was tried.
    void stop(std::function<void()> done);

private:
    void announce();
    void find();

    host_context context_;
    peers_task& peers_;
    bool announced_{};
    bool found_{};
    bool busy_{};
    bool stopping_{};
    instant next_try_{};
};

} // namespace quincewing
