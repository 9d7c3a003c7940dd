#include "quincewing/state/record.hpp"

#include "quincewing/codec/codec.hpp"

namespace quincewing {

namespace {

constexpr std::uint32_t newest_supported_version = 1;

} // namespace

std::string encode_record(const record& rec)
{
    return codec::encode(rec);
}

tl::expected<record, std::string> decode_record(std::string_view buf)
{
    auto rec = codec::decode<record>(buf);
    if (rec && rec->version > newest_supported_version) {
        return tl::make_unexpected("unsupported record version " + std::to_string(rec->version));
    }
    return rec;
}

} // namespace quincewing
