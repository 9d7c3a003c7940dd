#pragma once

#include "quincewing/net/event_loop.hpp"

#include <list>
#include <string>

struct bufferevent;
struct evconnlistener;

namespace quincewing::testing {

/// Passes connections on to an address, and can hold up all that is on its way.
class pausing_path
{
public:
    /// "ip:port" each.
    pausing_path(event_loop& loop, const std::string& from, std::string to);
    ~pausing_path();
    pausing_path(const pausing_path&) = delete;
    pausing_path& operator=(const pausing_path&) = delete;

    /// Holds up what is on its way on the connections that there are; new ones are not concerned.
    void pause_open();
    /// The same, and new connections get no answer.
    void pause();
    void go_on();
    /// Ends all connections.
    void break_open();
    /// Connections that are open.
    [[nodiscard]] std::size_t size() const { return connections_.size(); }

private:
    struct connection
    {
        pausing_path* path{};
        bufferevent* near{};
        bufferevent* far{};
    };

    void accept(int fd);
    void set_reading(const connection& it, bool on);
    void close(connection* it);

    event_loop& loop_;
    std::string to_;
    evconnlistener* listener_{};
    std::list<connection> connections_;
    bool paused_{};
};

} // namespace quincewing::testing
