#pragma once

#include "quincewing/admission/memory_usage.hpp"

#include <vector>

namespace quincewing {

/// What a memory budget wants done with connections.
struct memory_actions
{
    /// Reading from these goes on.
    std::vector<memory_holder> resume;
    /// Memory is short: their unfinished request is refused with 503, and the connection ends.
    std::vector<memory_holder> refuse;
    /// Their body makes too little progress: 408, and the connection ends.
    std::vector<memory_holder> too_slow;
    /// Memory is short, and they do not read their answers.
    std::vector<memory_holder> close;
};

} // namespace quincewing
