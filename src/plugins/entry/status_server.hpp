#pragma once

#include "quincewing/entry/host_context.hpp"

#include <functional>
#include <string>

struct evhttp;

namespace quincewing {

/// Answers the balancer's question and the request for metrics, each on its own address.
class status_server
{
public:
    status_server(host_context context, std::function<bool()> ready,
                  std::function<void()> before_metrics);
    ~status_server();
    status_server(const status_server&) = delete;
    status_server& operator=(const status_server&) = delete;

    /// The error names the address that cannot be had, and is empty otherwise.
    std::string start();

private:
    evhttp* listen(const std::string& address);

    host_context context_;
    std::function<bool()> ready_;
    std::function<void()> before_metrics_;
    evhttp* readiness_{};
    evhttp* metrics_{};
};

} // namespace quincewing
