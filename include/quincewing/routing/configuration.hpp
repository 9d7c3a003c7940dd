#pragma once

#include "quincewing/base/ids.hpp"
#include "quincewing/base/request_rate.hpp"
#include "quincewing/base/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace quincewing {

/// Version of the operators' configuration; increases with each one.
using config_version = strong<struct config_version_tag, std::uint64_t>;

/// Whether a route's requests may be retried when a server may have run them already.
enum class retry_policy : std::uint8_t
{
    /// May run any number of times.
    idempotent,
    /// May run at most once.
    at_most_once
};

/// A service that gets a share of a route's requests.
struct service_share
{
    service_id service;
    /// Relative to the other shares of the route.
    std::uint32_t weight{1};

    auto operator<=>(const service_share&) const = default;
    template <class F>
    void each_field(F&& f)
    {
        f(service);
        f(weight);
    }
};

/// Maps requests to services, and says how to handle them.
struct route
{
    std::string name;
    /// Host name of the request's Host header, without a port.
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    retry_policy retry{retry_policy::at_most_once};
    /// Longest time until a final answer.
    duration timeout{seconds{10}};
    /// Time after which an answer loses part of its value.
    duration latency_objective{seconds{1}};
    /// 0 is the most urgent.
    std::uint32_t priority{};
    /// Largest number of backend servers to which one request may be sent.
    std::uint32_t max_servers{1};
    std::vector<service_share> shares;

    bool operator==(const route&) const = default;
    template <class F>
    void each_field(F&& f)
    {
        f(name);
        f(host);
        f(path_prefix);
        f(retry);
        f(timeout);
        f(latency_objective);
        f(priority);
        f(max_servers);
        f(shares);
    }
};

inline constexpr const char* default_health_check = "/health";

struct service_configuration
{
    /// Connections that one server accepts in total.
    std::uint32_t max_connections{100};
    /// Each key is owned by one server, and only this one runs its requests.
    bool keyed{};
    /// The rate that one server takes from all hosts together while it is cold; 0: no limit.
    request_rate warm_up_rate;
    /// Path at which a server tells its id and whether it is well.
    std::string health_check{default_health_check};

    bool operator==(const service_configuration&) const = default;
    template <class F>
    void each_field(F&& f)
    {
        f(max_connections);
        f(keyed);
        f(warm_up_rate);
        f(health_check);
    }
};

/// Limits on what a caller may send.
struct caller_limits
{
    std::uint64_t head_bytes{16UL * 1024};
    std::uint64_t body_bytes{64UL * 1024 * 1024};
    duration head_timeout{seconds{3}};
    duration idle_timeout{seconds{15}};

    bool operator==(const caller_limits&) const = default;
    template <class F>
    void each_field(F&& f)
    {
        f(head_bytes);
        f(body_bytes);
        f(head_timeout);
        f(idle_timeout);
    }
};

/// The operators' complete configuration.
struct configuration
{
    config_version version;
    std::vector<route> routes;
    std::map<service_id, service_configuration> services;
    caller_limits limits;
};

} // namespace quincewing
