#pragma once

#include "quincewing/wire/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <msgpack.hpp>
#include <string>

namespace quincewing {

struct envelope_reader_hooks
{
    std::function<void(const envelope&)> on_envelope;
    /// A message that this build does not know; a later build sent it.
    std::function<void()> on_unknown;
    /// A message that can't be read, and why.
    std::function<void(const std::string& error)> on_unreadable;
};

/// Reads envelopes that follow each other without a frame of their own: MessagePack knows where
/// each ends.
class envelope_reader
{
public:
    explicit envelope_reader(envelope_reader_hooks hooks);

    /// False: the bytes are no MessagePack, and nothing that follows can be read.
    [[nodiscard]] bool feed(const std::uint8_t* data, std::size_t n);

private:
    void take(const msgpack::object& from);

    envelope_reader_hooks hooks_;
    msgpack::unpacker unpacker_;
};

} // namespace quincewing
