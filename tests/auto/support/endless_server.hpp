#pragma once

#include "quincewing/net/event_loop.hpp"

#include <cstddef>
#include <list>
#include <memory>
#include <string>

struct bufferevent;
struct evconnlistener;

namespace quincewing::testing {

/// Bytes that are no whole answer and never end.
struct endless_bytes
{
    /// For the test's output.
    std::string name;
    std::string start;
    /// Sent behind the start again and again.
    std::string filler;
};

/// A server on the test's event loop that answers each connection with bytes without end, until the
/// other side closes.
class endless_server
{
public:
    /// pause: the time between two pieces; zero: as fast as the other side reads.
    endless_server(event_loop& loop, endless_bytes bytes, duration pause = {});
    ~endless_server();
    endless_server(const endless_server&) = delete;
    endless_server& operator=(const endless_server&) = delete;

    [[nodiscard]] const std::string& address() const { return address_; }
    /// Bytes that the other side, or the system for it, has taken on all connections.
    [[nodiscard]] std::size_t taken() const { return taken_; }
    [[nodiscard]] std::size_t open_connections() const { return open_.size(); }
    [[nodiscard]] std::size_t accepted() const { return accepted_; }

private:
    struct connection;

    void accept(int fd);
    void close(const connection& it);

    event_loop& loop_;
    endless_bytes bytes_;
    duration pause_;
    evconnlistener* listener_{};
    std::string address_;
    std::list<std::unique_ptr<connection>> open_;
    std::size_t accepted_{};
    std::size_t taken_{};
};

/// Each place of an answer in which bytes may have no end.
[[nodiscard]] const std::list<endless_bytes>& all_endless_bytes();

} // namespace quincewing::testing
