#pragma once

#include "quincewing/net/event_loop.hpp"

#include <string>

struct bufferevent;

namespace quincewing::testing {

/// A caller's connection on the test's event loop that sends bytes as they are given and collects
/// what comes back.
class raw_caller
{
public:
    /// address: "ip:port" of the entry host.
    raw_caller(event_loop& loop, const std::string& address);
    ~raw_caller();
    raw_caller(const raw_caller&) = delete;
    raw_caller& operator=(const raw_caller&) = delete;

    void send(const std::string& bytes);
    /// Pauses or resumes reading; received bytes then stay in the socket's buffer.
    void set_reading(bool on);

    /// All bytes received so far.
    [[nodiscard]] const std::string& received() const { return received_; }
    /// Status codes of the responses received so far, separated by spaces.
    [[nodiscard]] std::string statuses() const;
    [[nodiscard]] bool closed() const { return closed_; }
    /// The connection ended with an error, not in an orderly way.
    [[nodiscard]] bool broken() const { return broken_; }

private:
    bufferevent* bev_;
    std::string received_;
    bool closed_{};
    bool broken_{};
};

/// A POST request of this id whose body is the id.
std::string post_request(const std::string& id);

} // namespace quincewing::testing
