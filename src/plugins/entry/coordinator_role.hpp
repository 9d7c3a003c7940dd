#pragma once

namespace quincewing {

/// What a host has to do with the term at present.
enum class coordinator_role
{
    none,
    /// It is this host's turn to take the term.
    candidate,
    coordinator
};

} // namespace quincewing
