#pragma once

#include <chrono>

namespace quincewing {

/// One process's monotonic clock. It has no now(): decision code is given the time.
struct mono_clock
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<mono_clock>;
    static constexpr bool is_steady = true;
};

using instant = mono_clock::time_point;
using duration = mono_clock::duration;
using millis = std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace quincewing
