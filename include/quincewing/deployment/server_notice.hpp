#pragma once

#include "quincewing/base/request_rate.hpp"
#include "quincewing/base/time.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace quincewing {

/// What an answer says of the server that gave it, beside the answer itself.
struct server_notice
{
    /// The rate that the server takes from all hosts together, if it names one.
    std::optional<request_rate> rate_limit;
    /// It names a rate that cannot be read, which says neither that it has one nor that it has not.
    bool rate_limit_unreadable{};
    /// It stops soon and wants no more requests from any host.
    bool leaving{};
    /// It turned the request away and wants nothing from this host for so long.
    std::optional<duration> rest;
    /// Requests that run and that wait at the server; -1 when it does not tell.
    std::int32_t running{-1};
    std::int32_t waiting{-1};
    /// How long work takes there now, in percent of usual; 0 when it does not tell.
    std::uint32_t slowness{};
    /// What could not be read, for the log; empty when all could.
    std::string unreadable;
};

} // namespace quincewing
