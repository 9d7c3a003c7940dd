#include "quincewing/routing/configuration_changes.hpp"

#include <map>
#include <set>

namespace quincewing {

namespace {

route_id id_of(const route& it)
{
    return {.host = it.host, .path_prefix = it.path_prefix};
}

} // namespace

// Of routes with one host and prefix only the first can match (route_table).
configuration_changes difference(const configuration& from, const configuration& to)
{
    configuration_changes out{.from = from.version, .version = to.version};
    std::map<route_id, const route*> before;
    for (const auto& it : from.routes) {
        before.emplace(id_of(it), &it);
    }
    std::set<route_id> seen;
    for (const auto& it : to.routes) {
        if (!seen.insert(id_of(it)).second) {
            continue;
        }
        const auto found = before.find(id_of(it));
        if (found == before.end() || *found->second != it) {
            out.changed.push_back(it);
        }
        if (found != before.end()) {
            before.erase(found);
        }
    }
    for (const auto& [id, it] : before) {
        out.removed.push_back(id);
    }
    if (from.services != to.services) {
        out.services = to.services;
    }
    if (from.limits != to.limits) {
        out.limits = to.limits;
    }
    return out;
}

configuration apply_configuration_changes(const configuration& from,
                                          const configuration_changes& changes)
{
    std::map<route_id, const route*> changed;
    for (const auto& it : changes.changed) {
        changed.emplace(id_of(it), &it);
    }
    const std::set<route_id> removed{changes.removed.begin(), changes.removed.end()};
    configuration out{.version = changes.version,
                      .services = changes.services.value_or(from.services),
                      .limits = changes.limits.value_or(from.limits)};
    out.routes.reserve(from.routes.size() + changes.changed.size());
    for (const auto& it : from.routes) {
        const auto id = id_of(it);
        const auto found = changed.find(id);
        if (found != changed.end()) {
            out.routes.push_back(*found->second);
            changed.erase(found);
        } else if (!removed.contains(id)) {
            out.routes.push_back(it);
        }
    }
    for (const auto& [id, it] : changed) {
        out.routes.push_back(*it);
    }
    return out;
}

} // namespace quincewing
