#pragma once

#include <cstddef>

namespace quincewing {

struct limit_share_input
{
    /// Entry hosts that were not forgotten, this one included.
    std::size_t known_hosts{1};
    /// Of these, the hosts in reach, this one included.
    std::size_t connected_hosts{1};
    /// By this host's own view it is the one to be asked for slots at the server.
    bool chosen{true};
    /// The dispatcher serves this host's own requests only, since another did not answer.
    bool fallback{};
};

/// The part of a server's own limit that a dispatcher may use, 0 to 1.
double limit_share(const limit_share_input& it);

} // namespace quincewing
