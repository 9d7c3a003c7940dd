#pragma once

#include "quincewing/base/time.hpp"
#include "quincewing/http/http_call.hpp"
#include "quincewing/net/event_loop.hpp"
#include "quincewing/platform/log_page.hpp"
#include "quincewing/state/log_bootstrap.hpp"
#include "quincewing/state/record.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace quincewing {

struct platform_options
{
    std::string address;
    std::string stream;
    duration poll{millis{500}};
    duration timeout{seconds{1}};
    double appends_per_second{4};
    double append_burst{40};
    duration hosts_every{seconds{5}};
};

struct platform_hooks
{
    std::function<void(instant started, const std::vector<std::pair<log_offset, record>>& records,
                       bool reached_tail)>
        on_records;
    std::function<void(instant started, log_state state)> on_state;
    std::function<void(const std::set<std::string>& addresses)> on_hosts;
    /// Offset up to which the host has replayed.
    std::function<std::uint64_t()> applied;
};

struct platform_counts
{
    std::uint64_t reads{};
    std::uint64_t reads_failed{};
    std::uint64_t appends{};
    std::uint64_t appends_failed{};
    std::uint64_t appends_dropped{};
    std::uint64_t unreadable{};
};

/// Talks to the platform: reads the log's tail, appends records, asks for the host list.
/// This is the one place that knows the platform's protocol.
class platform_task
{
public:
    platform_task(event_loop& loop, platform_options options, platform_hooks hooks, host_id self);

    void start();
    /// Appends the record; an answer that is lost is asked for again under the same id.
    void append(record_body body);
    [[nodiscard]] const platform_counts& counts() const { return counts_; }

private:
    struct pending_append
    {
        std::string data;
        int tries{};
    };

    void read();
    void on_page(instant started, const http_answer& answer);
    void take_page(instant started, const log_page& page);
    void bootstrap_page(instant started, const log_page& page);
    void read_again(duration after);
    void pump_appends();
    void send_append(pending_append it);
    void read_hosts();

    event_loop& loop_;
    platform_options options_;
    platform_hooks hooks_;
    host_id self_;
    platform_counts counts_;
    timer read_timer_;
    timer append_timer_;
    timer hosts_timer_;
    std::optional<log_bootstrap> bootstrap_;
    std::uint64_t bootstrap_next_{};
    std::deque<pending_append> appends_;
    double tokens_;
    instant tokens_at_;
    std::uint64_t record_number_{};
};

} // namespace quincewing
