#pragma once

#include "caller_exchange.hpp"

#include "quincewing/routing/route_table.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace quincewing {

/// The header's value, if it is a whole number.
std::optional<std::int64_t> integer_header(const header_list& headers, const std::string& name);
/// Class of traffic, as a number that is equal on all hosts.
std::uint64_t traffic_class_of(const route& it);
/// The value of a Host header without its port.
std::string host_without_port(const std::string& host);
/// Hash of what repeats of the request have in common with it.
std::uint64_t fingerprint_of(const caller_exchange& it);
/// Whether the response claims a success without the server's signature, so that it may be a part
/// of an answer or another server's. A platform whose signature_header is empty has no signatures.
bool is_unproven_success(const message_head& response, const std::string& signature_header);

} // namespace quincewing
