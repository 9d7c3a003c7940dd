#pragma once

#include "quincewing/backends/backend_pool.hpp"
#include "quincewing/http/client_connection.hpp"

#include <string>

namespace quincewing {

/// One connection to a backend server, with at most one request on it.
class backend_connection
{
public:
    backend_connection(event_loop& loop, backend_pool& pool, const std::string& address);
    backend_connection(const backend_connection&) = delete;
    backend_connection& operator=(const backend_connection&) = delete;

    void send(const backend_pool::waiting& it, instant now);
    [[nodiscard]] bool busy() const { return busy_; }
    [[nodiscard]] bool used() const { return used_; }
    [[nodiscard]] bool closed() const { return connection_.closed(); }
    [[nodiscard]] instant last_answer() const { return last_answer_; }
    [[nodiscard]] instant sent_at() const { return sent_at_; }
    /// Bytes of the present request may have reached the server.
    [[nodiscard]] bool handed() const { return connection_.sent(); }
    [[nodiscard]] bool head_received() const { return head_received_; }
    /// The server has had its time for the answer, however its bytes come.
    [[nodiscard]] bool overdue(instant now) const;
    /// Bytes came on the connection and were not read yet.
    [[nodiscard]] bool unread() const { return connection_.unread(); }
    [[nodiscard]] backend_pool::waiting& current() { return current_; }
    [[nodiscard]] const backend_pool::waiting& current() const { return current_; }
    [[nodiscard]] const request_result& result() const { return result_; }

    bool checking{};
    bool checked{};
    bool aborted{};

private:
    [[nodiscard]] std::string request_head(instant now) const;
    void take_head(const message_head& from);
    void take_body(const char* buf, std::size_t n);
    void keep(const char* buf, std::size_t n);
    void on_end();
    void on_lost();

    backend_pool& pool_;
    std::string address_;
    client_connection connection_;
    backend_pool::waiting current_;
    request_result result_;
    bool busy_{};
    bool used_{};
    bool head_received_{};
    instant sent_at_{};
    instant last_answer_{};
};

} // namespace quincewing
