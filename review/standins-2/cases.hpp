#pragma once

#include <ostream>

namespace quincewing::review {

/// How a case ended; the exit status of its script.
enum class case_result
{
    held = 0,
    broken = 1,
    could_not_run = 2
};

/// One host's short freezes, and a server that limits its rate. trouble: with the freezes.
case_result run_limit_case(bool trouble, std::ostream& record);

} // namespace quincewing::review
