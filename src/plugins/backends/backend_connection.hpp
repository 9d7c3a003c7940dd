#pragma once

#include "quincewing/backends/backend_pool.hpp"

#include <cstddef>
#include <event2/http.h>
#include <event2/util.h>
#include <string>

struct evbuffer;
struct evbuffer_cb_info;
struct evhttp_request;

namespace quincewing {

/// One connection to a backend server, with at most one request on it.
class backend_connection
{
public:
    backend_connection(event_loop& loop, backend_pool& pool, const std::string& address);
    ~backend_connection();
    backend_connection(const backend_connection&) = delete;
    backend_connection& operator=(const backend_connection&) = delete;

    void send(const backend_pool::waiting& it, instant now);
    [[nodiscard]] bool busy() const { return busy_; }
    [[nodiscard]] bool used() const { return used_; }
    [[nodiscard]] instant last_answer() const { return last_answer_; }
    [[nodiscard]] instant sent_at() const { return sent_at_; }
    /// Bytes of the present request were handed to the socket.
    [[nodiscard]] bool handed() const { return handed_; }
    [[nodiscard]] bool head_received() const { return head_received_; }
    /// The server has had its time for the answer, however its bytes come.
    [[nodiscard]] bool overdue(instant now) const;
    /// The response exceeded the limit on bytes before its head or on the line of a chunk.
    [[nodiscard]] bool over_limit() const { return over_limit_; }
    /// Bytes came on the connection and were not read yet.
    [[nodiscard]] bool unread() const;
    [[nodiscard]] backend_pool::waiting& current() { return current_; }
    [[nodiscard]] const backend_pool::waiting& current() const { return current_; }
    [[nodiscard]] const request_result& result() const { return result_; }

    bool checking{};
    bool checked{};
    bool aborted{};

private:
    static int on_head(evhttp_request* request, void* arg);
    static void on_chunk(evhttp_request* request, void* arg);
    static void on_done(evhttp_request* request, void* arg);
    static void on_written(evbuffer* buf, const evbuffer_cb_info* info, void* arg);
    static void on_received(evbuffer* buf, const evbuffer_cb_info* info, void* arg);
    /// Checks the first line of a response, once it is complete.
    void check_status_line(evbuffer* buf);
    void take_head(evhttp_request* request);
    void take_body(evhttp_request* request);
    /// Hands on what has come of a long chunk, which the library would keep until it is whole.
    void take_part_of_chunk(evbuffer* buf);
    void check_limits(evbuffer* buf, std::size_t added);
    void keep(evbuffer* buf);

    backend_pool& pool_;
    evhttp_connection* connection_;
    std::string address_;
    /// The library's request while it is busy.
    evhttp_request* request_{};
    backend_pool::waiting current_;
    request_result result_;
    bool busy_{};
    bool used_{};
    bool handed_{};
    bool head_received_{};
    bool status_line_seen_{};
    bool status_line_valid_{};
    bool freeing_{};
    bool over_limit_{};
    /// Bytes that came before the head of the final response.
    std::size_t bytes_before_head_{};
    instant sent_at_{};
    instant last_answer_{};
};

} // namespace quincewing
