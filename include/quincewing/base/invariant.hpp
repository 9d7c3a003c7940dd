#pragma once

namespace quincewing {

/// Ends the process when a promise would be broken; present in every build.
/// Ending is safe: a host keeps nothing and the others carry on.
void check_invariant(bool holds, const char* what);

} // namespace quincewing
