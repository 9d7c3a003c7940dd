#pragma once

#include "process_fleet.hpp"

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace quincewing::testing {

/// Callers that make deposits and repeat each, at any host, until its answer says that it ran.
class deposit_load
{
public:
    /// A caller uses these hosts only, or all when the list is empty.
    deposit_load(const process_fleet& fleet, int callers, std::uint64_t seed,
                 std::vector<int> hosts = {});
    ~deposit_load();
    deposit_load(const deposit_load&) = delete;
    deposit_load& operator=(const deposit_load&) = delete;

    /// No new deposits; waits for the open ones to be answered.
    void stop();
    /// The balancer stops, or begins again, to give callers this host.
    void take_out(int host, bool out) { out_ = out ? host : -1; }
    /// Deposits whose answer said that they ran.
    [[nodiscard]] int done() const { return done_; }
    /// Connections that broke with a request on them, refused ones not counted.
    [[nodiscard]] int cut_off() const { return cut_off_; }
    /// Longest time between two deposits that ran, at any key, in milliseconds.
    [[nodiscard]] long longest_gap_ms() const;

    /// What is wrong, compared with the journals; empty when every promise was kept.
    [[nodiscard]] std::string check(const std::vector<std::string>& journal) const;
    [[nodiscard]] std::string summary() const;

private:
    struct deposit
    {
        int ran{};
        int not_run{};
        int unknown{};
        int no_answer{};
        bool wrong_answer{};
        long took_ms{};
    };

    void run_caller(int number, std::uint64_t seed);
    void make_deposit(const std::string& key, const std::string& boat, std::uint64_t& random);

    const process_fleet& fleet_;
    std::vector<int> hosts_;
    std::vector<std::thread> threads_;
    std::atomic<bool> stopping_{};
    std::atomic<int> out_{-1};
    std::atomic<int> done_{};
    std::atomic<int> cut_off_{};
    mutable std::mutex mutex_;
    std::map<std::string, deposit> deposits_;
};

} // namespace quincewing::testing
