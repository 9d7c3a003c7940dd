#pragma once

#include "quincewing/base/ids.hpp"
#include "quincewing/base/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace quincewing {

/// Version of the operators' configuration; a later one is larger.
using config_version = strong<struct config_version_tag, std::uint64_t>;

/// What may be done again with a route's requests.
enum class retry_policy : std::uint8_t
{
    /// May run any number of times.
    idempotent,
    /// May run once at most.
    at_most_once
};

/// A service that takes part of a route's requests.
struct service_share
{
    service_id service;
    /// Relative to the other shares of the route.
    std::uint32_t weight{1};
};

/// Which requests go to which services, and how.
struct route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    retry_policy retry{retry_policy::at_most_once};
    /// Longest time until a final answer.
    duration timeout{seconds{10}};
    /// Time within which an answer has its full use.
    duration latency_objective{seconds{1}};
    /// 0 is the most urgent.
    std::uint32_t priority{};
    /// Backend servers to which one request may be sent.
    std::uint32_t max_servers{1};
    std::vector<service_share> shares;
};

struct service_configuration
{
    /// Connections that one server takes in all.
    std::uint32_t max_connections{100};
    /// One owner for each key.
    bool keyed{};
};

/// Bounds of what a caller may send.
struct caller_limits
{
    std::uint64_t head_bytes{16UL * 1024};
    std::uint64_t body_bytes{64UL * 1024 * 1024};
    duration head_timeout{seconds{3}};
    duration idle_timeout{seconds{15}};
};

/// What the operators want, whole.
struct configuration
{
    config_version version;
    std::vector<route> routes;
    std::map<service_id, service_configuration> services;
    caller_limits limits;
};

} // namespace quincewing
