#pragma once

#include "small_deployment.hpp"
#include "thread_caller.hpp"

#include "quincewing/entry/entry_host.hpp"

#include <memory>
#include <string>
#include <vector>

namespace quincewing::testing {

/// Times that count from the stop signal.
struct late_caller
{
    std::string bytes;
    duration connect_after{};
    duration send_after{};
    /// See thread_caller_options.
    std::size_t bytes_per_second{};
    int receive_buffer{};
};

/// An entry host whose event loop is late while it stops. Callers have threads of their own.
class late_stop_run
{
public:
    explicit late_stop_run(small_deployment_options options);

    thread_caller& add_caller(const late_caller& it);
    /// The loop does nothing else in this time after the signal.
    void block(duration from, duration to);
    /// From some time before the signal on, each turn of the loop takes this long.
    void slow_down(duration turn);

    /// Runs until the host's process would end. The host learns of the signal so much after it.
    void run(duration learns_after = {});

    [[nodiscard]] const small_deployment& deployment() const { return deployment_; }
    /// The moment of the signal.
    [[nodiscard]] instant signal() const { return signal_; }
    /// Time from the signal until the process would end; zero: it did not within the grace period.
    [[nodiscard]] duration ended_after() const { return ended_after_; }

private:
    event_loop loop_;
    small_deployment deployment_;
    entry_host host_;
    instant signal_;
    std::vector<std::unique_ptr<timer>> timers_;
    std::vector<std::unique_ptr<thread_caller>> callers_;
    duration ended_after_{};
};

} // namespace quincewing::testing
