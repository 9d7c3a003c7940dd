#pragma once

#include "quincewing/net/event_loop.hpp"

#include <cstddef>
#include <string>
#include <thread>
#include <vector>

namespace quincewing::testing {

struct thread_caller_options
{
    /// "ip:port" of the entry host.
    std::string address;
    /// Sent at once on one connection.
    std::string bytes;
    instant connect_at{};
    instant send_at{};
    /// It gives up then.
    instant end_at{};
    /// It reads no faster; 0: as fast as it can.
    std::size_t bytes_per_second{};
    /// Size of the socket's receive buffer; 0: the system's.
    int receive_buffer{};
};

/// A caller on a thread of its own: it keeps its times although the host's loop is late.
class thread_caller
{
public:
    explicit thread_caller(thread_caller_options options);
    ~thread_caller();
    thread_caller(const thread_caller&) = delete;
    thread_caller& operator=(const thread_caller&) = delete;

    /// Waits for the end of the thread. The figures below are good after it.
    void join();
    /// Status of the first answer; empty: none came.
    [[nodiscard]] std::string status() const;
    [[nodiscard]] const std::string& received() const { return received_; }
    /// Bytes that it had received by then.
    [[nodiscard]] std::size_t received_by(instant it) const;
    /// When the first byte of an answer came.
    [[nodiscard]] instant answered_at() const { return answered_at_; }
    /// When the last byte came.
    [[nodiscard]] instant last_byte_at() const;
    /// The connection was reset or refused.
    [[nodiscard]] bool broken() const { return broken_; }

private:
    struct arrival
    {
        instant at;
        std::size_t total{};
    };

    void run();
    void read_all(int fd);
    [[nodiscard]] std::size_t allowed_bytes() const;

    thread_caller_options options_;
    std::string received_;
    std::vector<arrival> arrivals_;
    instant answered_at_{};
    bool broken_{};
    std::thread thread_;
};

} // namespace quincewing::testing
