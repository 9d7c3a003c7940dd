#pragma once

#include "quincewing/http/client_connection.hpp"
#include "quincewing/net/http_call.hpp"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace quincewing {

struct call_pool_options
{
    /// Connections to one address at a time; more calls wait for one.
    std::size_t max_connections{4};
    /// Idle connections are not used again after this.
    duration max_idle{seconds{8}};
    /// Longest answer in bytes.
    std::size_t max_response_size{16UL * 1024 * 1024};
};

/// Control calls over kept connections. A call that is given up resets its connection, so that
/// bytes still on their way die with it.
class call_pool
{
public:
    call_pool(event_loop& loop, call_pool_options options);
    ~call_pool();
    call_pool(const call_pool&) = delete;
    call_pool& operator=(const call_pool&) = delete;

    /// done is called once, never inside this call.
    void call(http_request request, std::function<void(const http_answer&)> done);

private:
    struct slot;
    struct waiting_call
    {
        http_request request;
        std::function<void(const http_answer&)> done;
        instant deadline;
    };
    struct address_state
    {
        std::vector<std::unique_ptr<slot>> slots;
        std::deque<waiting_call> waiting;
    };

    static bool may_carry(const slot& it, const http_request& request);
    void start_waiting(const std::string& address);
    void start(slot& it, waiting_call call);
    void finish(slot& it, const http_answer& answer, bool keep);
    void sweep();

    event_loop& loop_;
    call_pool_options options_;
    std::uint64_t last_number_{};
    std::map<std::string, address_state> addresses_;
    std::vector<std::unique_ptr<slot>> ended_;
    timer sweep_timer_;
    timer start_timer_;
};

} // namespace quincewing
