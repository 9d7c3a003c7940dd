#pragma once

#include "quincewing/base/time.hpp"

namespace quincewing {

/// A SIGTERM or SIGINT. It was sent between the two moments.
struct stop_signal
{
    /// The process had read its clock then, and did not have the signal yet.
    instant sent_after{};
    /// The process got the signal, at whatever it was at work.
    instant received_at{};
};

} // namespace quincewing
