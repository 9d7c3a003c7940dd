#pragma once

#include "quincewing/exchange/exchange.hpp"
#include "quincewing/settings/host_settings.hpp"

#include <string>
#include <tl/expected.hpp>

namespace quincewing {

/// Why a request is refused before anything is decided about it.
struct request_error
{
    int status{400};
    std::string what;
};

/// Fills in service, key, class, deadline and fingerprint from the parts that the caller sent.
tl::expected<void, request_error> read_request(const host_settings& settings, instant now,
                                               inbound_request& it);

} // namespace quincewing
