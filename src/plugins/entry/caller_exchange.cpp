#include "caller_exchange.hpp"

#include "caller_connection.hpp"

#include <array>
#include <cstdio>
#include <event2/buffer.h>

namespace quincewing {

namespace {

const char* reason_phrase(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 413:
        return "Content Too Large";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 501:
        return "Not Implemented";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

bool has_no_body(int status, const std::string& method)
{
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    return method == "HEAD" || status == no_content || status == not_modified;
}

} // namespace

const char* to_string(disconnect_cause it)
{
    switch (it) {
    case disconnect_cause::none:
        return "none";
    case disconnect_cause::caller_gone:
        return "caller_gone";
    case disconnect_cause::connection_reset:
        return "connection_reset";
    case disconnect_cause::behind_last_response:
        return "behind_last_response";
    case disconnect_cause::behind_truncated_response:
        return "behind_truncated_response";
    case disconnect_cause::closed_by_host:
        return "closed_by_host";
    }
    return "none";
}

caller_exchange::caller_exchange(caller_connection& connection, std::string caller_,
                                 message_head head_, instant arrived_)
    : caller(std::move(caller_)), head(std::move(head_)), arrived(arrived_),
      connection_(&connection), out_(evbuffer_new()), last_of_caller_(!head.keep_alive)
{
}

caller_exchange::~caller_exchange()
{
    evbuffer_free(out_);
}

bool caller_exchange::others_behind() const
{
    return !disconnected() && connection_->started_behind(*this);
}

bool caller_exchange::host_stops() const
{
    return !disconnected() && connection_->hooks_.stopping && connection_->hooks_.stopping();
}

void caller_exchange::disconnect(quincewing::disconnect_cause cause)
{
    connection_ = nullptr;
    cause_ = cause;
    if (on_disconnect) {
        on_disconnect();
    }
}

void caller_exchange::begin(int status, const header_list& headers,
                            std::optional<std::uint64_t> length)
{
    begun_ = true;
    if (disconnected()) {
        return;
    }
    const bool bodyless = has_no_body(status, head.method);
    chunked_ = !length && !bodyless && head.version_1_1;
    framed_ = chunked_ || length || bodyless;
    // HTTP/1.0 has no chunked encoding: without a length the body ends with the connection.
    close_after_ = !head.keep_alive || connection_->closes_after(*this) ||
                   (!length && !bodyless && !head.version_1_1);
    if (close_after_) {
        connection_->no_more_requests_ = true;
    }
    evbuffer_add_printf(out_, "HTTP/1.1 %d %s\r\n", status, reason_phrase(status));
    for (const auto& [name, value] : headers) {
        evbuffer_add_printf(out_, "%s: %s\r\n", name.c_str(), value.c_str());
    }
    if (length) {
        evbuffer_add_printf(out_, "Content-Length: %llu\r\n",
                            static_cast<unsigned long long>(*length));
    } else if (chunked_) {
        evbuffer_add_printf(out_, "Transfer-Encoding: chunked\r\n");
    }
    if (close_after_) {
        evbuffer_add_printf(out_, "Connection: close\r\n");
    } else if (!head.version_1_1) {
        evbuffer_add_printf(out_, "Connection: keep-alive\r\n");
    }
    evbuffer_add_printf(out_, "\r\n");
    connection_->flush_responses();
}

bool caller_exchange::write(const char* buf, std::size_t n)
{
    if (disconnected() || n == 0) {
        return true;
    }
    if (chunked_) {
        evbuffer_add_printf(out_, "%zx\r\n", n);
    }
    evbuffer_add(out_, buf, n);
    if (chunked_) {
        evbuffer_add(out_, "\r\n", 2);
    }
    connection_->flush_responses();
    return disconnected() || connection_->buffered_bytes() < connection_->options_.answer_buffer;
}

void caller_exchange::end()
{
    if (ended_) {
        return;
    }
    ended_ = true;
    if (disconnected()) {
        return;
    }
    if (chunked_) {
        evbuffer_add(out_, "0\r\n\r\n", 5);
    }
    connection_->flush_responses();
    // Responses before this one may still be due.
    if (!disconnected()) {
        connection_->start_requests();
    }
}

void caller_exchange::abort()
{
    if (ended_) {
        return;
    }
    ended_ = true;
    aborted_ = true;
    if (!disconnected()) {
        connection_->flush_responses();
    }
}

void caller_exchange::respond(int status, const header_list& headers, const std::string& text)
{
    begin(status, headers, text.size());
    if (head.method != "HEAD") {
        write(text.data(), text.size());
    }
    end();
}

} // namespace quincewing
