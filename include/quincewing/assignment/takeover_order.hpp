#pragma once

#include "quincewing/base/ids.hpp"
#include "quincewing/base/time.hpp"

#include <cstddef>
#include <vector>

namespace quincewing {

/// A host that may coordinate.
struct takeover_candidate
{
    host_id host;
    /// Processor cores that it may use; 0: not known.
    double cores{};
};

/// Position of a host in the order in which hosts try to coordinate: those with more processor
/// first, hosts of one size in an order that differs between them only by their names.
std::size_t takeover_rank(const takeover_candidate& self,
                          const std::vector<takeover_candidate>& others);

/// Whether one of the others is so much stronger that it should coordinate in place of self.
bool stronger_exists(const takeover_candidate& self, const std::vector<takeover_candidate>& others);

/// How long a host that has just started leaves the term to stronger ones that start beside it.
duration takeover_start_delay(double cores);

} // namespace quincewing
