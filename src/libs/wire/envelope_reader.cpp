#include "quincewing/wire/envelope_reader.hpp"

#include "quincewing/codec/codec.hpp"

#include <cstring>
#include <exception>

namespace quincewing {

envelope_reader::envelope_reader(envelope_reader_hooks hooks)
    : hooks_(std::move(hooks)),
      unpacker_(nullptr, nullptr, MSGPACK_UNPACKER_INIT_BUFFER_SIZE, codec::read_limits())
{
}

bool envelope_reader::feed(const std::uint8_t* data, std::size_t n)
{
    unpacker_.reserve_buffer(n);
    std::memcpy(unpacker_.buffer(), data, n);
    unpacker_.buffer_consumed(n);
    msgpack::object_handle handle;
    try {
        while (unpacker_.next(handle)) {
            take(handle.get());
        }
    } catch (const msgpack::unpack_error& e) {
        hooks_.on_unreadable(e.what());
        return false;
    }
    return true;
}

// A message that can't be read must not hold up those behind it.
void envelope_reader::take(const msgpack::object& from)
{
    envelope it;
    try {
        codec::get(from, it);
    } catch (const codec::unknown_alternative&) {
        hooks_.on_unknown();
        return;
    } catch (const std::exception& e) {
        hooks_.on_unreadable(e.what());
        return;
    }
    hooks_.on_envelope(it);
}

} // namespace quincewing
