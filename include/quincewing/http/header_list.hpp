#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace quincewing {

using header_list = std::vector<std::pair<std::string, std::string>>;

/// The value of the first header of this name, ignoring case; nullptr when there is none.
const std::string* find_header(const header_list& headers, const std::string& name);
/// Removes every header of this name, ignoring case.
void erase_header(header_list& headers, const std::string& name);
/// Whether a proxy must not forward the header unchanged: it is hop-by-hop, or it is set anew for
/// each connection (Host, Content-Length, Expect).
bool is_hop_by_hop_header(const std::string& name);
/// Whether the comma-separated value contains the token, ignoring case.
bool has_token(std::string_view value, std::string_view token);

} // namespace quincewing
