#pragma once

#include "http.hpp"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace review {

struct endpoint_options
{
    std::string address;
    std::string id;
    std::string service;
    /// The platform's store.
    std::string store;
    /// What it did, a line each.
    std::string journal;
    bool sharded{true};
    /// Spoils one byte of one answer: to its first release after fifty answers.
    bool spoils_answer{};
    /// Spoils one byte of each fiftieth answer: in the name of a header, of each in turn.
    bool garbles{};
    /// Breaks each fiftieth answer off, near its end.
    bool breaks_off{};
    /// Works in six tenths of the time: endpoints of one service differ in speed.
    bool fast{};
};

/// An endpoint of the users' platform: a process with slots that registers itself and, if its
/// service is divided by key, runs requests only on keys that it was granted.
class endpoint
{
public:
    explicit endpoint(endpoint_options options);
    /// Serves until the process ends; false if it can't listen.
    bool serve();

private:
    struct key_state
    {
        std::uint64_t fence{};
        long long held_until{};
    };
    struct key_call
    {
        std::size_t first{};
        std::size_t last{};
        std::uint64_t fence{};
        long long hold_ms{};
    };

    /// Writes its entry in the store until it has drained, which SIGTERM begins.
    void register_itself();
    void append_entry(const std::string& content) const;
    void serve_connection(int fd);
    std::string answer(const http_message& request);
    std::string grant(const http_message& request);
    std::string release(const http_message& request);
    std::string run(const http_message& request);
    [[nodiscard]] bool holds(std::size_t key) const;
    [[nodiscard]] std::string refuse(int status, const std::string& id) const;
    static key_call call_of(const std::string& body);
    void garble(std::string& answer);
    void note(const std::string& line);

    endpoint_options options_;
    long long born_;
    std::ofstream journal_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<key_state> keys_;
    /// Keys on which requests are at work.
    std::multiset<std::size_t> running_;
    std::size_t waiting_{};
    std::uint64_t last_token_{};
    bool spoiled_{};
    std::atomic<std::uint64_t> answers_{};
};

} // namespace review
