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
    /// All bytes so far are taken; more are needed.
    need_more,
    /// A message ended; later bytes stay in the buffer.
    complete,
    /// The head is longer than allowed.
    head_too_long,
    /// Not a message, or one that parsers read differently.
    malformed
};

struct message_reader_options
{
    message_kind kind{message_kind::request};
    /// Longest head in bytes.
    std::size_t max_head{16UL * 1024};
};

struct message_reader_hooks
{
    /// The head is whole. True: no body follows, whatever the head says (answers to HEAD).
    std::function<bool(message_head&)> on_head;
    std::function<void(const char*, std::size_t)> on_body;
};

/// Takes HTTP/1.1 messages from a buffer one by one.
class message_reader
{
public:
    message_reader(message_reader_options options, message_reader_hooks hooks);
    ~message_reader();
    message_reader(const message_reader&) = delete;
    message_reader& operator=(const message_reader&) = delete;

    /// Reads up to the end of one message.
    read_result read(evbuffer* from);
    /// The stream ended in order: completes a body that has no length of its own.
    read_result end_of_stream();
    /// A head has begun and its message has not ended.
    [[nodiscard]] bool inside_message() const;
    /// The head of the present message has been given out.
    [[nodiscard]] bool inside_body() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace quincewing
