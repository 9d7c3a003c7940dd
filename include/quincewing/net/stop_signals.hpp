#pragma once

#include "quincewing/base/stop_signal.hpp"
#include "quincewing/net/event_loop.hpp"

#include <csignal>
#include <functional>

struct event;

namespace quincewing {

/// For a stop without a signal.
stop_signal stop_signal_now();

/// Calls a function in the loop for the first SIGTERM or SIGINT, and for each further turn of the
/// loop in which there is one. One instance a process.
class stop_signals
{
public:
    stop_signals(event_loop& loop, std::function<void(const stop_signal&)> fire);
    ~stop_signals();
    stop_signals(const stop_signals&) = delete;
    stop_signals& operator=(const stop_signals&) = delete;

private:
    void on_wake();

    std::function<void(const stop_signal&)> fire_;
    event* wake_{};
    struct sigaction previous_term_ = {};
    struct sigaction previous_interrupt_ = {};
};

} // namespace quincewing
