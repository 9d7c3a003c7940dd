#pragma once

#include "quincewing/base/ids.hpp"

#include <cstdint>

namespace quincewing {

/// The form of messages that a build speaks; see docs/DESIGN.md. Told when a connection is made; 1
/// for builds that tell none.
using spoken_version = strong<struct spoken_version_tag, std::uint32_t>;
inline const spoken_version first_spoken_version{1};
/// Adds: table changes that renew all fences, requests for news that name what the sender has.
inline const spoken_version renewal_spoken_version{2};
/// Adds: leases of quotas.
inline const spoken_version quota_spoken_version{3};
inline const spoken_version current_spoken_version = quota_spoken_version;

/// What a host tells of itself when a connection is made.
struct peer_identity
{
    host_id host;
    data_centre_id data_centre;
    spoken_version speaks{first_spoken_version};
    /// Processor cores that it may use; 0: not told.
    double cores{};
};

} // namespace quincewing
