#pragma once

#include "quincewing/exchange/exchange.hpp"
#include "quincewing/host/host_task.hpp"

#include <evhtp/evhtp.h>
#include <memory>

namespace quincewing {

/// One request of a caller, from its arrival until the library frees it.
class caller_request
{
public:
    caller_request(host_task& host, evhtp_request_t* request);

    /// Keeps what the library later overwrites; call when the headers are there. The memory is
    /// the request's from now on, through its fini hook.
    static void attach(host_task& host, evhtp_request_t* request);
    /// Takes the whole request.
    static void take(evhtp_request_t* request);

private:
    enum class framing : std::uint8_t
    {
        none,
        /// Small and whole: sent in one piece.
        gathered,
        sized,
        chunked
    };

    void begin();
    void on_head(const response_head& head);
    bool on_body(evbuffer* data);
    void on_end(bool whole);
    void refuse(int status, const std::string& what);
    void add_header(const char* key, const std::string& value);
    void fail();
    void finish();
    static evhtp_res on_fini(evhtp_request_t* request, void* arg);
    static void on_error(evhtp_request_t* request, evhtp_error_flags error, void* arg);
    static evhtp_res on_write(evhtp_connection_t* connection, void* arg);

    host_task& host_;
    evhtp_request_t* request_;
    std::string target_;
    exchange_ptr it_;
    framing framing_{framing::none};
    evhtp_res status_{};
    bool finished_{};
};

} // namespace quincewing
