#pragma once

#include "http.hpp"

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

/// What became of one request.
struct sent_request
{
    std::string id;
    /// 0: no answer came.
    int status{};
    /// The host closed the connection without an answer.
    bool closed{};
    /// The answer has the endpoint's signature.
    bool has_signature{};
    /// Requests that the connection had carried before.
    int earlier{};
    long long sent_at{};
    long long ended_at{};
};

struct caller_options
{
    std::string address;
    /// "METHOD /path?query".
    std::string request;
    std::string name;
    int first_key{};
    int last_key{};
    int deadline_ms{2'500};
};

/// A client that keeps its connection and sends one request after the other, over a range of keys.
class caller
{
public:
    explicit caller(caller_options options);
    ~caller();
    caller(const caller&) = delete;
    caller& operator=(const caller&) = delete;

    void stop();
    [[nodiscard]] std::vector<sent_request> sent();

private:
    void send_requests();

    caller_options options_;
    std::atomic<bool> stopping_{};
    std::mutex mutex_;
    std::vector<sent_request> sent_;
    std::thread thread_;
};

} // namespace review
