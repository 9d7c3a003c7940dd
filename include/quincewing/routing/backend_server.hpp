#pragma once

#include "quincewing/base/ids.hpp"
#include "quincewing/base/time.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace quincewing {

/// Identifies one start of a backend server, as restarts keep its id.
using server_start = strong<struct server_start_tag, std::uint64_t>;

/// A backend server, as it registered itself.
struct backend_server
{
    server_id id;
    server_start start;
    /// "ip:port"
    std::string address;
    service_id service;
    data_centre_id data_centre;
    /// Requests that it runs concurrently.
    std::uint32_t slots{1};
    /// It is about to stop and gets no new requests.
    bool draining{};
    /// Microseconds for which it stays slow after its start; 0 unless it reported them.
    std::uint64_t warm_up_left{};

    bool operator==(const backend_server&) const = default;
    template <class F>
    void each_field(F&& f)
    {
        f(id);
        f(start);
        f(address);
        f(service);
        f(data_centre);
        f(slots);
        f(draining);
        f(warm_up_left);
    }
};

using backend_servers = std::map<server_id, backend_server>;

} // namespace quincewing
