#pragma once

#include "quincewing/wire/messages.hpp"

namespace quincewing {

/// The beat of a coordinator that knows now and told last: versions of what was told, ages of now.
coordinator_beat told_beat(const coordinator_beat& now, const coordinator_beat& last);

} // namespace quincewing
