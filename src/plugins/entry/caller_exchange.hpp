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

/// One request of a caller and the way of its answer. The answer goes out when those before it
/// on the connection have.
class caller_exchange
{
public:
    caller_exchange(caller_connection& connection, message_head head, instant arrived);
    ~caller_exchange();
    caller_exchange(const caller_exchange&) = delete;
    caller_exchange& operator=(const caller_exchange&) = delete;

    message_head head;
    std::string body;
    instant arrived;

    /// The caller left before the answer ended. Nothing can be sent any more.
    std::function<void()> on_disconnect;
    /// There is room again after write() returned false.
    std::function<void()> on_writable;

    /// Sends the first part of the answer. Without a length the body is sent in chunks.
    void begin(int status, const header_list& headers, std::optional<std::uint64_t> length);
    /// False: much of the answer waits for the caller; on_writable tells when to go on.
    bool write(const char* buf, std::size_t n);
    void end();
    /// The answer broke off: the caller must see that it is not whole.
    void abort();
    /// A whole answer in one.
    void respond(int status, const header_list& headers, const std::string& body);

    [[nodiscard]] bool begun() const { return begun_; }
    [[nodiscard]] bool ended() const { return ended_; }
    [[nodiscard]] bool disconnected() const { return connection_ == nullptr; }

private:
    friend class caller_connection;

    caller_connection* connection_;
    evbuffer* out_;
    bool received_{};
    bool started_{};
    bool begun_{};
    bool ended_{};
    bool aborted_{};
    bool chunked_{};
    /// The caller can tell the end of the answer without the end of the connection.
    bool framed_{};
    bool close_after_{};
};

using caller_exchange_ptr = std::shared_ptr<caller_exchange>;

} // namespace quincewing
