#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace quincewing {

using header_list = std::vector<std::pair<std::string, std::string>>;

/// The first header of this name, case aside; nullptr when there is none.
const std::string* find_header(const header_list& headers, const std::string& name);
/// Removes every header of this name, case aside.
void erase_header(header_list& headers, const std::string& name);
/// Headers that concern one connection only and are not passed on.
bool is_hop_by_hop_header(const std::string& name);
/// Whether the comma-separated value holds the token, case aside.
bool has_token(std::string_view value, std::string_view token);

} // namespace quincewing
