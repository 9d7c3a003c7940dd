#pragma once

#include "quincewing/exchange/exchange.hpp"

#include <cstddef>
#include <deque>
#include <string>

namespace quincewing {

/// What became of one request, for operators who ask.
struct request_trace
{
    std::string id;
    service_id service;
    std::string key;
    std::string idempotency_key;
    shard_id shard;
    server_id server;
    quincewing::verdict verdict{quincewing::verdict::not_run};
    int status{};
    int attempts{};
    duration took{};
};

/// The newest requests that ended at this host.
class request_log
{
public:
    void add(request_trace it);
    /// The newest with this request id, key or idempotency key.
    [[nodiscard]] const request_trace* find(const std::string& name) const;

private:
    static constexpr std::size_t kept = 2000;
    std::deque<request_trace> traces_;
};

} // namespace quincewing
