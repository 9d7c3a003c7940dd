#pragma once

#include "quincewing/net/event_loop.hpp"

#include <event2/http.h>
#include <functional>
#include <map>
#include <string>

namespace quincewing::standin {

/// A small HTTP server on libevent for the stand-ins. Handlers may answer later.
class http_server
{
public:
    using handler = std::function<void(evhttp_request*)>;

    http_server(event_loop& loop, const std::string& address, handler handle);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    [[nodiscard]] bool listening() const { return fd_ >= 0; }
    /// The listening socket; negative if there is none.
    [[nodiscard]] int fd() const { return fd_; }

private:
    handler handle_;
    evhttp* http_;
    int fd_{-1};
};

using values = std::map<std::string, std::string>;

std::string path_of(evhttp_request* request);
values query_of(evhttp_request* request);
std::string body_of(evhttp_request* request);
/// The caller's ip.
std::string caller_of(evhttp_request* request);
std::string header_of(evhttp_request* request, const char* name);
void reply(evhttp_request* request, int status, const std::string& body);
/// A number of the query, or the default.
double number(const values& query, const std::string& name, double fallback);
/// The machine's monotonic clock, equal for all processes.
long long now_ns();

} // namespace quincewing::standin
