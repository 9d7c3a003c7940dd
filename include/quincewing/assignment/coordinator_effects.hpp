#pragma once

#include "quincewing/assignment/assignment_table.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace quincewing {

/// Numbers the calls that a coordinator asks for.
using call_number = strong<struct call_number_tag, std::uint64_t>;

/// Numbers a host's connections to servers in the order in which they were opened; 0 is none.
using connection_number = strong<struct connection_number_tag, std::uint64_t>;

/// Read the newest table, and where its stream ends.
struct read_table
{
};

/// Append the table if its stream still ends at this offset.
struct append_table
{
    std::string data;
    log_offset at;
};

/// Let the holder have the keys for this time; a repeat renews it.
struct grant_keys
{
    call_number number;
    key_holder holder;
    key_range keys;
    std::uint64_t fence{};
    duration valid_for{};
    /// Proof of an orderly release by the holder before; may be empty.
    std::string handoff;
    /// The call is given up, its connection reset, after this time.
    duration timeout{};
    /// Only a connection that is not newer than this one may carry the call, so that it reaches
    /// the process that had the grant; none: any connection.
    connection_number newest_connection;
};

/// Let the holder give up the keys and refuse lower fences on them.
struct release_keys
{
    call_number number;
    key_holder holder;
    key_range keys;
    std::uint64_t fence{};
    duration timeout{};
};

using coordinator_effect = std::variant<read_table, append_table, grant_keys, release_keys>;

enum class call_outcome
{
    accepted,
    /// The server has seen a higher fence on some of the keys.
    fenced,
    /// An answer that says something else is wrong.
    rejected,
    /// No byte of the call went out.
    not_sent,
    /// No answer: it may have been carried out, now or later.
    unknown
};

enum class append_outcome
{
    appended,
    /// The stream ends elsewhere.
    conflict,
    /// Certainly not done.
    not_done,
    unknown
};

} // namespace quincewing
