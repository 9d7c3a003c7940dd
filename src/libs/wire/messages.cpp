#include "quincewing/wire/messages.hpp"

#include "quincewing/codec/codec.hpp"

namespace quincewing {

std::string encode_envelope(const envelope& it)
{
    return codec::encode(it);
}

tl::expected<envelope, std::string> decode_envelope(std::string_view buf)
{
    return codec::decode<envelope>(buf);
}

} // namespace quincewing
