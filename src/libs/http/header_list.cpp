#include "quincewing/http/header_list.hpp"

#include <algorithm>
#include <array>
#include <strings.h>

namespace quincewing {

const std::string* find_header(const header_list& headers, const std::string& name)
{
    for (const auto& [key, value] : headers) {
        if (strcasecmp(key.c_str(), name.c_str()) == 0) {
            return &value;
        }
    }
    return nullptr;
}

void erase_header(header_list& headers, const std::string& name)
{
    std::erase_if(headers,
                  [&](const auto& it) { return strcasecmp(it.first.c_str(), name.c_str()) == 0; });
}

bool is_hop_by_hop_header(const std::string& name)
{
    static constexpr std::array names{"connection",
                                      "keep-alive",
                                      "proxy-authenticate",
                                      "proxy-connection",
                                      "te",
                                      "trailer",
                                      "transfer-encoding",
                                      "upgrade",
                                      "content-length",
                                      "host",
                                      "expect"};
    return std::any_of(names.begin(), names.end(),
                       [&](const char* it) { return strcasecmp(name.c_str(), it) == 0; });
}

bool has_token(std::string_view value, std::string_view token)
{
    while (!value.empty()) {
        const auto item_end = std::min(value.find(','), value.size());
        auto item = value.substr(0, item_end);
        value.remove_prefix(std::min(item_end + 1, value.size()));
        const auto first = item.find_first_not_of(" \t");
        if (first == std::string_view::npos) {
            continue;
        }
        item = item.substr(first, item.find_last_not_of(" \t") - first + 1);
        if (item.size() == token.size() &&
            strncasecmp(item.data(), token.data(), token.size()) == 0) {
            return true;
        }
    }
    return false;
}

} // namespace quincewing
