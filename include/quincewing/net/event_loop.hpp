#pragma once

#include "quincewing/base/time.hpp"

#include <event2/event.h>
#include <exception>
#include <functional>
#include <memory>

namespace quincewing {

/// The one thread's loop. Tasks own their sockets and are called by it.
class event_loop
{
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /// Runs until stop().
    void run();
    void stop();
    [[nodiscard]] event_base* base() const { return base_; }

    /// Calls a function. An exception that it throws ends the call, not the process, and is told to
    /// on_failure. Returns false if it threw. where: what was going on, for the log.
    template <class Function>
    bool guard(const char* where, Function&& call)
    {
        try {
            call();
            return true;
        } catch (const std::exception& e) {
            on_failure(where, e.what());
            return false;
        }
    }
    /// Called for each exception that guard() has caught; writes to the standard error unless set.
    std::function<void(const char* where, const char* error)> on_failure;

private:
    event_base* base_;
};

/// The process's monotonic clock. It goes on while the process or its machine is suspended.
instant monotonic_now();
/// What monotonic_now() returned last. Safe in a signal handler.
instant last_clock_reading();
timeval to_timeval(duration it);

/// Calls a function after a time, or again and again. Stops when destroyed.
class timer
{
public:
    timer(event_loop& loop, std::function<void()> fire);
    ~timer();
    timer(const timer&) = delete;
    timer& operator=(const timer&) = delete;

    /// Another function to call.
    void set(std::function<void()> fire);
    void once(duration after);
    void every(duration period);
    /// Fires after the events that are ready now; calls before that add nothing.
    void soon();
    void cancel();

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace quincewing
