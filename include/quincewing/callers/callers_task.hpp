#pragma once

#include "quincewing/host/host_task.hpp"

#include <memory>
#include <string>

struct evhtp;

namespace quincewing {

/// The HTTP/1.1 side towards callers.
class callers_task
{
public:
    callers_task(event_loop& loop, host_task& host);
    ~callers_task();
    callers_task(const callers_task&) = delete;
    callers_task& operator=(const callers_task&) = delete;

    /// Listens; false when the address cannot be had.
    bool start();
    /// Takes no new connections.
    void close();
    /// No answer waits in this process any more.
    [[nodiscard]] bool answers_sent() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace quincewing
