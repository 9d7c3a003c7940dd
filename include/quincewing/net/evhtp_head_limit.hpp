#pragma once

#include "quincewing/net/event_loop.hpp"

#include <cstddef>
#include <evhtp/evhtp.h>
#include <map>
#include <memory>

namespace quincewing {

/// Closes connections of a libevhtp server on which the head of a request, with the empty lines
/// before it, is too long.
class evhtp_head_limit
{
public:
    /// max_bytes: the largest head.
    evhtp_head_limit(event_loop& loop, std::size_t max_bytes);
    ~evhtp_head_limit();
    evhtp_head_limit(const evhtp_head_limit&) = delete;
    evhtp_head_limit& operator=(const evhtp_head_limit&) = delete;

    /// To be called for a connection that was accepted.
    void watch(evhtp_connection_t* it);
    /// To be called when a head is complete; what follows is not counted.
    void on_headers(evhtp_connection_t* it);
    /// To be called when a request is complete; the next head is counted.
    void on_request(evhtp_connection_t* it);
    /// To be called when a connection ends.
    void forget(evhtp_connection_t* it);

private:
    struct counter;

    void close_overlong();

    std::size_t max_bytes_;
    std::map<evhtp_connection_t*, std::unique_ptr<counter>> counters_;
    timer close_timer_;
};

} // namespace quincewing
