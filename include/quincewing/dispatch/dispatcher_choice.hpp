#pragma once

#include "quincewing/base/ids.hpp"

#include <string_view>
#include <vector>

namespace quincewing {

/// A host that may run the dispatcher of a group of servers.
struct dispatch_candidate
{
    host_id host;
    /// Processor cores that it may use; 0: not told, as by hosts of earlier builds.
    double cores{};
    /// It stops, or did not answer lately.
    bool skipped{};
};

/// The host whose dispatcher serves the group: the same on all hosts that know the same candidates,
/// and for other groups the same as before when one comes or goes. Only the strongest hosts
/// dispatch once all have told their cores: one dispatcher hears of every request for its servers.
/// nullptr if all are skipped.
const dispatch_candidate* choose_dispatcher(std::string_view group,
                                            const std::vector<dispatch_candidate>& candidates);

} // namespace quincewing
