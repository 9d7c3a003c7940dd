#pragma once

#include "quincewing/entry/host_context.hpp"

#include <functional>
#include <string>

struct evhttp;

namespace quincewing {

/// HTTP server for the load balancer's readiness checks, and for metrics and the state of the
/// servers, each on its own address.
class status_server
{
public:
    /// update_metrics is called before the metrics are rendered.
    status_server(host_context context, std::function<bool()> ready,
                  std::function<void()> update_metrics, std::function<std::string()> servers);
    ~status_server();
    status_server(const status_server&) = delete;
    status_server& operator=(const status_server&) = delete;

    /// Opens both listening sockets. Returns the first address that could not be bound, or an empty
    /// string on success.
    std::string start();

private:
    evhttp* listen(const std::string& address);

    host_context context_;
    std::function<bool()> ready_;
    std::function<void()> update_metrics_;
    /// What the servers say of themselves, one a line.
    std::function<std::string()> servers_;
    evhttp* readiness_{};
    evhttp* metrics_{};
};

} // namespace quincewing
