#pragma once

#include "quincewing/assignment/assignment_table.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace quincewing {

/// Matches the answer to a call to a server with what the coordinator requested.
using call_number = strong<struct call_number_tag, std::uint64_t>;

/// Numbers a host's connections to servers in the order of opening; 0 means no connection.
using connection_number = strong<struct connection_number_tag, std::uint64_t>;

/// Read the newest table and the end of its stream in the store.
struct read_table
{
};

/// Matches the answer to an append with the one that the coordinator requested.
using append_number = strong<struct append_number_tag, std::uint64_t>;

/// Append the encoded table, provided that the stream still ends at this offset.
struct append_table
{
    append_number number;
    std::string data;
    log_offset at;
};

/// Grant the keys to the holder for a limited time; a repeated grant renews it.
struct grant_keys
{
    call_number number;
    key_holder holder;
    key_range keys;
    std::uint64_t fence{};
    /// Counted by the server from the arrival of the call.
    duration valid_for{};
    /// Handoff token that the previous owner returned on release; may be empty.
    std::string handoff;
    /// After this time the call fails and its connection is reset.
    duration timeout{};
    /// Newest connection that may carry the call, so that it reaches the process that had the
    /// previous grant; 0 allows any.
    connection_number newest_connection;
};

/// Tell the holder to give up the keys and to refuse calls on them with a lower fence.
struct release_keys
{
    call_number number;
    key_holder holder;
    key_range keys;
    std::uint64_t fence{};
    duration timeout{};
    /// On a connection that carries no other call, so that the answer can be nobody else's.
    bool own_connection{};
};

/// Ask the process at the holder's address for its id. The call is accepted if it is the holder's.
struct identify_server
{
    call_number number;
    key_holder holder;
    service_id service;
    duration timeout{};
};

using coordinator_effect =
    std::variant<read_table, append_table, grant_keys, release_keys, identify_server>;

enum class call_outcome
{
    accepted,
    /// The server has seen a higher fence for some of the keys.
    fenced,
    /// The server answered with any other error.
    rejected,
    /// No byte of the call was sent.
    not_sent,
    /// No answer: the call may have taken effect, or may still do so.
    unknown,
    /// The answer may be that of another call on the connection, which is closed.
    doubtful
};

const char* to_string(call_outcome it);

enum class append_outcome
{
    appended,
    /// The stream ends at another offset.
    conflict,
    /// Definitely not appended.
    not_done,
    /// No answer: the append may have taken effect, or may still do so.
    unknown
};

} // namespace quincewing
