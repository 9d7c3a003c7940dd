#include "quincewing/wire/messages.hpp"

#include "quincewing/codec/codec.hpp"

namespace quincewing {

std::string encode_envelope(const envelope& it)
{
    return codec::encode(it);
}

std::string encode_body(const message& body)
{
    return codec::encode(body);
}

// The members in the order of envelope::each_field.
std::string encode_envelope(const host_id& from, const host_id& to, std::string_view body)
{
    constexpr std::uint32_t members = 4;
    msgpack::sbuffer buf;
    codec::packer out{buf};
    out.pack_array(members);
    codec::put(out, envelope{}.version);
    codec::put(out, from);
    codec::put(out, to);
    buf.write(body.data(), body.size());
    return {buf.data(), buf.size()};
}

tl::expected<envelope, std::string> decode_envelope(std::string_view buf)
{
    return codec::decode<envelope>(buf);
}

} // namespace quincewing
