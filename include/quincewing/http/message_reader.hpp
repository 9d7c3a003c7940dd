#pragma once

#include "quincewing/http/message_head.hpp"

#include <cstddef>
#include <functional>
#include <memory>

struct evbuffer;

namespace quincewing {

enum class message_kind
{
    request,
    response
};

enum class read_result
{
    /// The message is incomplete: call again when more bytes have arrived.
    need_more,
    /// A message is complete; the bytes after it stay in the buffer.
    complete,
    /// The head exceeds max_head.
    head_too_long,
    /// Not an HTTP message, or one that parsers may interpret differently.
    malformed,
    /// A request that asks for what this host does not implement, such as CONNECT.
    unsupported
};

struct message_reader_options
{
    message_kind kind{message_kind::request};
    /// Largest head in bytes.
    std::size_t max_head{16UL * 1024};
};

struct message_reader_hooks
{
    /// The head is complete. Returns true if no body follows whatever the head says, as in
    /// responses to HEAD.
    std::function<bool(message_head&)> on_head;
    std::function<void(const char*, std::size_t)> on_body;
};

/// Incremental parser that takes HTTP/1.1 messages from a buffer one by one.
class message_reader
{
public:
    message_reader(message_reader_options options, message_reader_hooks hooks);
    ~message_reader();
    message_reader(const message_reader&) = delete;
    message_reader& operator=(const message_reader&) = delete;

    /// Parses and removes bytes from the buffer, at most to the end of one message.
    read_result read(evbuffer* from);
    /// To be called at the end of the stream. complete: the body had no length and ends here;
    /// malformed: the message was truncated.
    read_result end_of_stream();
    /// A message has begun and is not complete.
    [[nodiscard]] bool inside_message() const;
    /// The head of the current message was passed to on_head and the message is not complete.
    [[nodiscard]] bool inside_body() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace quincewing
