#pragma once

#include "quincewing/host/host_task.hpp"

#include <memory>

namespace quincewing {

/// The HTTP side towards operators: status, metrics, explanations, plans and confirmations.
class operators_task
{
public:
    operators_task(event_loop& loop, host_task& host);
    ~operators_task();
    operators_task(const operators_task&) = delete;
    operators_task& operator=(const operators_task&) = delete;

    /// Listens; false when the address cannot be had.
    bool start();
    /// Takes no new connections and answers the confirmations that wait.
    void close();

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace quincewing
