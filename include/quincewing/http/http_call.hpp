#pragma once

#include "quincewing/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace quincewing {

class event_loop;

struct http_request
{
    std::string method{"GET"};
    /// "ip:port"
    std::string address;
    std::string path{"/"};
    /// "Host" is the address and "Content-Length" the body's, unless they are given here.
    std::map<std::string, std::string> headers;
    std::string body;
    /// From the call to the end of its answer, however its bytes come.
    duration timeout{seconds{2}};
    /// Largest body of an answer in bytes; a longer one ends the call without an answer.
    std::size_t max_answer{1024UL * 1024};
    /// Of a pool's connections only those that are not newer may carry the call; 0: any.
    std::uint64_t newest_connection{};
    /// Of a pool only a connection that carried no other call may carry the call.
    bool own_connection{};
};

/// status 0 when no answer came.
struct http_answer
{
    int status{};
    std::map<std::string, std::string> headers;
    std::string body;
    /// Nobody listens at the address.
    bool refused{};
    /// A pool tried to connect in vain.
    bool connect_failed{};
    /// Bytes of the request may have gone out.
    bool sent{true};
    /// Number of the pool's connection that carried the call; 0 outside a pool.
    std::uint64_t connection{};
    /// The pool's connection carried no other call before.
    bool first_on_connection{};
};

/// One request on a connection of its own, for control traffic; done is called once.
void http_call(event_loop& loop, const http_request& request,
               std::function<void(const http_answer&)> done);

/// The same, waiting for the answer. For the command line and tests.
http_answer http_call_and_wait(const http_request& request);

} // namespace quincewing
