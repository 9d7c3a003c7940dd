#pragma once

#include "quincewing/routing/configuration.hpp"
#include "quincewing/routing/weighted_choice.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace quincewing {

/// A route with the state of its split.
struct active_route
{
    quincewing::route route;
    weighted_choice split;
};

/// The routes in force, by host and longest prefix. A version never goes back.
class route_table
{
public:
    explicit route_table(std::uint64_t seed = 0) : seed_(seed) {}

    /// Puts a configuration in force. False: it is not newer than the present one.
    bool apply(configuration next);
    [[nodiscard]] bool configured() const { return current_.version.value > 0; }
    [[nodiscard]] const configuration& current() const { return current_; }
    /// The route of a request; nullptr when there is none.
    std::shared_ptr<active_route> find(std::string_view host, std::string_view path) const;

private:
    using host_routes = std::vector<std::shared_ptr<active_route>>;

    std::shared_ptr<active_route> make_active(const route& it) const;

    std::uint64_t seed_;
    configuration current_;
    /// Longest prefix first.
    std::unordered_map<std::string, host_routes> hosts_;
};

} // namespace quincewing
