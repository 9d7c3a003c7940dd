#pragma once

#include "quincewing/net/event_loop.hpp"

#include <atomic>
#include <string>
#include <thread>

struct evhttp;
struct evhttp_request;

namespace quincewing::testing {

/// A backend server that takes every grant and breaks each answer off in the middle.
class broken_server
{
public:
    explicit broken_server(const std::string& address);
    ~broken_server();
    broken_server(const broken_server&) = delete;
    broken_server& operator=(const broken_server&) = delete;

    [[nodiscard]] bool listening() const { return listening_; }

private:
    static void handle(evhttp_request* request, void* arg);

    event_loop loop_;
    evhttp* http_;
    bool listening_{};
    std::atomic<bool> stopping_{};
    timer look_timer_;
    std::thread thread_;
};

} // namespace quincewing::testing
