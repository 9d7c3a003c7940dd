#include "quincewing/state/record.hpp"

#include "quincewing/codec/codec.hpp"

namespace quincewing {

namespace {

constexpr std::uint32_t newest_version = 1;

} // namespace

std::string encode_record(const record& it)
{
    return codec::encode(it);
}

tl::expected<record, std::string> decode_record(std::string_view buf)
{
    auto it = codec::decode<record>(buf);
    if (it && it->version > newest_version) {
        return tl::make_unexpected("record of version " + std::to_string(it->version));
    }
    return it;
}

} // namespace quincewing
