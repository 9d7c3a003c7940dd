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

/// A request that crashes each server that runs it, and servers that start again under their ids.
/// trouble: it does crash them.
case_result run_crash_case(bool trouble, std::ostream& record);

/// One host's short freezes, and a server that limits its rate. trouble: with the freezes.
case_result run_limit_case(bool trouble, std::ostream& record);

/// The address of a server that crashed goes to one of another service while the coordinating host
/// is stopped. trouble: the new server has that address.
case_result run_reuse_case(bool trouble, std::ostream& record);

} // namespace quincewing::review
