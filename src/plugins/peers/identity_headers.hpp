#pragma once

#include "quincewing/http/header_list.hpp"
#include "quincewing/peers/peer_identity.hpp"

#include <optional>

namespace quincewing {

/// A host's identity as headers of the stream that carries messages, and back. Nothing if the
/// headers name no host.
void append_identity(header_list& out, const peer_identity& it);
std::optional<peer_identity> read_identity(const header_list& headers);

} // namespace quincewing
