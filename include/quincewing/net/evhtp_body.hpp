#pragma once

#include <evhtp/evhtp.h>

namespace quincewing {

/// Keeps the bodies of a connection's requests without a buffer for each chunk that was sent.
void gather_bodies(evhtp_connection_t* it);

} // namespace quincewing
