#pragma once

#include "quincewing/callers/callers_task.hpp"
#include "quincewing/host/host_task.hpp"
#include "quincewing/net/event_loop.hpp"
#include "quincewing/operators/operators_task.hpp"

#include <chrono>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace quincewing::testing {

/// A host in a thread of the test's process, whose loop the test can make late.
class host_thread
{
public:
    explicit host_thread(const std::string& settings_file);
    ~host_thread();
    host_thread(const host_thread&) = delete;
    host_thread& operator=(const host_thread&) = delete;

    [[nodiscard]] bool listening() const { return listening_; }
    /// Begins a stop as of a signal some time ago, and keeps the loop busy for a while, just after
    /// one of the host's ticks. Returns when the stop begins to refuse what waits.
    std::chrono::steady_clock::time_point stop_and_be_late(duration signalled_ago, duration late);

private:
    void post(std::function<void()> it);
    void run_posted();

    event_loop loop_;
    host_settings settings_;
    host_task host_;
    callers_task callers_;
    operators_task operators_;
    bool listening_{};
    std::mutex mutex_;
    std::vector<std::function<void()>> posted_;
    timer posted_timer_;
    std::thread thread_;
};

} // namespace quincewing::testing
