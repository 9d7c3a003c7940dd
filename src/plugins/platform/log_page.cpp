#include "quincewing/platform/log_page.hpp"

#include "quincewing/codec/codec.hpp"

namespace quincewing {

std::string encode_page(const log_page& it)
{
    return codec::encode(it);
}

tl::expected<log_page, std::string> decode_page(const std::string& buf)
{
    return codec::decode<log_page>(buf);
}

} // namespace quincewing
