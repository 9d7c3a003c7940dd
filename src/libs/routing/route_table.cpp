#include "quincewing/routing/route_table.hpp"

#include "quincewing/base/hash.hpp"

#include <algorithm>

namespace quincewing {

namespace {

std::vector<std::uint32_t> weights_of(const route& definition)
{
    std::vector<std::uint32_t> out;
    for (const auto& share : definition.shares) {
        out.push_back(share.weight);
    }
    return out;
}

bool same_split(const route& a, const route& b)
{
    return std::equal(a.shares.begin(), a.shares.end(), b.shares.begin(), b.shares.end(),
                      [](const auto& x, const auto& y) {
                          return x.service == y.service && x.weight == y.weight;
                      });
}

} // namespace

bool route_table::apply(configuration next)
{
    if (next.version <= current_.version) {
        return false;
    }
    std::unordered_map<std::string, host_routes> hosts;
    for (const auto& definition : next.routes) {
        auto active = make_active(definition);
        // An unchanged split goes on where definition was, so that new versions do not skew
        // definition.
        const auto previous = find(definition.host, definition.path_prefix);
        const bool same_prefix = previous && previous->route.path_prefix == definition.path_prefix;
        if (same_prefix && same_split(previous->route, definition)) {
            active->split = previous->split;
        }
        hosts[definition.host].push_back(std::move(active));
    }
    for (auto& [host, routes] : hosts) {
        std::stable_sort(routes.begin(), routes.end(), [](const auto& a, const auto& b) {
            return a->route.path_prefix.size() > b->route.path_prefix.size();
        });
    }
    hosts_ = std::move(hosts);
    current_ = std::move(next);
    return true;
}

std::shared_ptr<active_route> route_table::find(std::string_view host, std::string_view path) const
{
    const auto found = hosts_.find(std::string{host});
    if (found == hosts_.end()) {
        return nullptr;
    }
    const auto match =
        std::find_if(found->second.begin(), found->second.end(), [&](const auto& active) {
            return path.starts_with(active->route.path_prefix);
        });
    return match == found->second.end() ? nullptr : *match;
}

std::shared_ptr<active_route> route_table::make_active(const route& definition) const
{
    auto out = std::make_shared<active_route>();
    out->route = definition;
    out->split = weighted_round_robin{weights_of(definition),
                                      stable_hash(definition.host + definition.path_prefix, seed_)};
    return out;
}

} // namespace quincewing
