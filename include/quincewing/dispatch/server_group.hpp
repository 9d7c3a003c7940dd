#pragma once

#include "quincewing/base/ids.hpp"

#include <compare>

namespace quincewing {

/// Servers that share a dispatcher: one server of a keyed service, or a whole unkeyed service.
struct server_group
{
    service_id service;
    /// Empty for an unkeyed service.
    server_id keyed_server;

    auto operator<=>(const server_group&) const = default;
    template <class F>
    void each_field(F&& f)
    {
        f(service);
        f(keyed_server);
    }
};

} // namespace quincewing
