#pragma once

#include "quincewing/base/time.hpp"
#include "quincewing/http/message_head.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

struct evbuffer;

namespace quincewing {

class caller_connection;

/// Why a connection ended before the response to a request was complete.
enum class disconnect_cause
{
    none,
    /// The caller closed its sending side.
    caller_gone,
    connection_reset,
    /// The response before it announced the close of the connection.
    behind_last_response,
    /// The response before it is truncated.
    behind_truncated_response,
    closed_by_host
};

const char* to_string(disconnect_cause it);

/// One request of a caller and its response. Responses are sent in the order of the requests on
/// the connection.
class caller_exchange
{
public:
    caller_exchange(caller_connection& connection, std::string caller_, message_head head_,
                    instant arrived_);
    ~caller_exchange();
    caller_exchange(const caller_exchange&) = delete;
    caller_exchange& operator=(const caller_exchange&) = delete;

    /// The caller's IP address.
    std::string caller;
    message_head head;
    std::string body;
    instant arrived;

    /// The caller disconnected before the response was complete; later writes are ignored.
    std::function<void()> on_disconnect;
    /// The response buffer has room again after write() returned false.
    std::function<void()> on_writable;

    /// Sends status line and headers. Without a length the body is chunked, or for HTTP/1.0 ends
    /// with the connection.
    void begin(int status, const header_list& headers, std::optional<std::uint64_t> length);
    /// Sends a part of the body. Returns false when the response buffer is full: the sender should
    /// pause until on_writable is called.
    bool write(const char* buf, std::size_t n);
    void end();
    /// Ends an incomplete response so that the caller can tell that it is truncated.
    void abort();
    /// Sends a complete response.
    void respond(int status, const header_list& headers, const std::string& body);

    [[nodiscard]] bool begun() const { return begun_; }
    [[nodiscard]] bool ended() const { return ended_; }
    [[nodiscard]] bool disconnected() const { return connection_ == nullptr; }
    /// Requests that were started wait behind this one's response, also if their own responses are
    /// complete: none of them can be answered if it is truncated.
    [[nodiscard]] bool others_behind() const;
    /// The host shuts down.
    [[nodiscard]] bool host_stops() const;
    [[nodiscard]] quincewing::disconnect_cause disconnect_cause() const { return cause_; }

private:
    friend class caller_connection;

    void disconnect(quincewing::disconnect_cause cause);

    caller_connection* connection_;
    quincewing::disconnect_cause cause_{};
    /// Bytes of the response that were not moved to the connection yet.
    evbuffer* out_;
    bool received_{};
    /// The request was passed to on_request or answered by the connection itself.
    bool started_{};
    bool begun_{};
    bool ended_{};
    bool aborted_{};
    bool chunked_{};
    /// The end of the response does not depend on the end of the connection.
    bool framed_{};
    bool close_after_{};
    /// The caller sends nothing after this request.
    bool last_of_caller_{};
};

using caller_exchange_ptr = std::shared_ptr<caller_exchange>;

} // namespace quincewing
