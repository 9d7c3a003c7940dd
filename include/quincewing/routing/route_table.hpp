#pragma once

#include "quincewing/routing/configuration.hpp"
#include "quincewing/routing/weighted_round_robin.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace quincewing {

/// A route with the state of its traffic split.
struct active_route
{
    quincewing::route route;
    weighted_round_robin split;
};

/// The active routes, found by a request's host name and the longest matching path prefix.
class route_table
{
public:
    explicit route_table(std::uint64_t seed = 0) : seed_(seed) {}

    /// Replaces the configuration. False: it is not newer than the present one and was ignored.
    bool apply(configuration next);
    [[nodiscard]] bool configured() const { return current_.version.value > 0; }
    [[nodiscard]] const configuration& current() const { return current_; }
    /// The route of a request; nullptr when there is none.
    std::shared_ptr<active_route> find(std::string_view host, std::string_view path) const;

private:
    using host_routes = std::vector<std::shared_ptr<active_route>>;

    std::shared_ptr<active_route> make_active(const route& definition) const;

    std::uint64_t seed_;
    configuration current_;
    /// Longest prefix first.
    std::unordered_map<std::string, host_routes> hosts_;
};

} // namespace quincewing
