#pragma once

#include "entry_fleet.hpp"

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace quincewing::review {

struct reborn_servers_options
{
    std::size_t servers{3};
    std::size_t slots{8};
    /// Time from the end of a process until the next one takes requests.
    duration down{millis{3500}};
    /// Time from then until its entry in the store is written.
    duration entry_after{millis{700}};
    /// Time between two writes of an entry; it is removed after three of them without one.
    duration heartbeat{millis{1500}};
};

/// Backend servers of a fleet, which write heartbeats. One whose process has ended starts again at
/// its address under its id, and writes its entry with the new time of its start.
class reborn_servers
{
public:
    reborn_servers(const testing::entry_fleet& fleet, reborn_servers_options options);

    /// Starts again what has ended, and writes entries that are due. Call every few milliseconds.
    void look();
    /// Files with the servers' records.
    [[nodiscard]] std::vector<std::string> journals() const;
    /// Processes that were started.
    [[nodiscard]] std::size_t starts() const { return starts_; }

private:
    using clock = std::chrono::steady_clock;
    struct server
    {
        std::string id;
        std::string address;
        std::unique_ptr<testing::child_process> process;
        clock::time_point ended_at{};
        clock::time_point entry_due{};
        /// Unix milliseconds.
        long long born{};
        /// The present process has written its entry.
        bool entry_written{};
        /// The store has an entry of this or an earlier process.
        bool listed{};
        clock::time_point heartbeat_at{};
    };

    [[nodiscard]] std::string journal_of(const server& it) const;
    void start(server& it);
    void write_entry(server& it);
    /// The heartbeats, and what the store does when they end.
    void keep_entry(server& it);

    const testing::entry_fleet& fleet_;
    reborn_servers_options options_;
    std::vector<server> servers_;
    std::size_t starts_{};
};

} // namespace quincewing::review
