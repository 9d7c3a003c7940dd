#pragma once

#include "quincewing/http/server_channel.hpp"

#include <string>

/// How entry hosts hand requests to each other for servers that one of them does not reach. The
/// forwarded request's body is the request as the server gets it. Its response is the server's, or
/// says in response_head::loss why there is none; the verdict then says whether it was sent.
namespace quincewing::relay_protocol {

constexpr const char* path = "/relay";
/// Id that the server echoes.
constexpr const char* request_id_header = "relayed-request-id";

/// Parses to_string(connection_loss); other texts count as not_connected.
connection_loss loss_of(const std::string& text);

} // namespace quincewing::relay_protocol
