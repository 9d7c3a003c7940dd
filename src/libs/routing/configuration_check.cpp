#include "quincewing/routing/configuration_check.hpp"

#include "configuration_texts.hpp"

#include "quincewing/routing/configuration_changes.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace quincewing {

namespace {

using member = configuration_member;
using severity = finding_severity;

/// An ordinary request has headers of several hundred bytes.
constexpr std::uint64_t min_head_bytes = 1024;
/// Requests per second. Below this a cold server gets less than one request in ten seconds, and may
/// never get warm.
constexpr double min_warm_up_rate = 0.1;

using findings = std::vector<configuration_finding>;

void check_path_prefix(const route& it, const configuration_place& place, findings& out)
{
    const auto& prefix = it.path_prefix;
    if (!prefix.starts_with('/')) {
        out.push_back({severity::error, place, "the prefix '" + prefix + "' begins with no slash",
                       "the path of a request does, so that the route never matches"});
    } else if (!prefix.ends_with('/')) {
        out.push_back({severity::warning, place, "the prefix '" + prefix + "' ends with no slash",
                       "the route takes all paths that begin so, such as '" + prefix + "x'"});
    }
}

void check_times(const route& it, configuration_place place, findings& out)
{
    if (it.timeout <= duration{0}) {
        place.member = member::route_timeout;
        out.push_back({severity::error, place, "the timeout is 0",
                       "no request can be answered in time: all are refused"});
        return;
    }
    if (it.latency_objective > it.timeout) {
        place.member = member::route_latency_objective;
        out.push_back({severity::warning, place,
                       "the latency objective of " + milliseconds_text(it.latency_objective) +
                           " is above the timeout of " + milliseconds_text(it.timeout),
                       "requests end at the timeout, so that none is ever late"});
    }
}

void check_shares(const route& it, const configuration& all, const configuration_place& place,
                  findings& out)
{
    const bool all_zero = std::all_of(it.shares.begin(), it.shares.end(),
                                      [](const auto& share) { return share.weight == 0; });
    if (all_zero) {
        out.push_back({severity::error, place, "the weights add up to 0",
                       "the split does not say which service gets the requests"});
    }
    std::set<service_id> missing;
    for (const auto& share : it.shares) {
        if (!all.services.contains(share.service) && missing.insert(share.service).second) {
            out.push_back({severity::warning, place,
                           "the service '" + share.service.value +
                               "' is not among the configuration's services",
                           "it counts as one that is not divided by key, and its requests are "
                           "refused if no server registers for it"});
        }
    }
}

void check_routes(const configuration& it, findings& out)
{
    std::map<route_id, const route*> seen;
    for (std::size_t i = 0; i < it.routes.size(); ++i) {
        const auto& route = it.routes[i];
        const route_id id{.host = route.host, .path_prefix = route.path_prefix};
        const auto [earlier, is_first] = seen.emplace(id, &route);
        if (!is_first) {
            out.push_back({severity::error,
                           {.member = member::route, .route = i},
                           "the route " + route_text(route) +
                               " has the host and the prefix of an earlier one, " +
                               route_text(*earlier->second),
                           "requests go by the earlier one, so that this one never matches"});
        }
        check_path_prefix(route, {.member = member::route_path_prefix, .route = i}, out);
        check_times(route, {.route = i}, out);
        check_shares(route, it, {.member = member::route_shares, .route = i}, out);
    }
}

void check_services(const configuration& it, findings& out)
{
    std::set<service_id> named;
    for (const auto& route : it.routes) {
        for (const auto& share : route.shares) {
            named.insert(share.service);
        }
    }
    for (const auto& [id, service] : it.services) {
        if (!named.contains(id)) {
            out.push_back({severity::warning,
                           {.member = member::service, .service = id},
                           "no route names the service '" + id.value + "'",
                           "it gets no requests"});
        }
        const auto rate = service.warm_up_rate.value;
        if (rate > 0 && rate < min_warm_up_rate) {
            out.push_back({severity::warning,
                           {.member = member::service_warm_up_rate, .service = id},
                           "the warm-up rate of " + number_text(rate) + " per second is below " +
                               number_text(min_warm_up_rate),
                           "a cold server gets hardly any requests; 0 would be no limit"});
        }
    }
}

void check_limits(const configuration& it, findings& out)
{
    if (it.limits.head_bytes < min_head_bytes) {
        out.push_back({severity::warning,
                       {.member = member::limit_head_bytes},
                       "headers of " + std::to_string(it.limits.head_bytes) +
                           " bytes are below the " + std::to_string(min_head_bytes) +
                           " that an ordinary request needs",
                       "requests with longer headers are refused"});
    }
    const auto changes_something =
        std::find_if(it.routes.begin(), it.routes.end(),
                     [](const auto& route) { return route.retry == retry_policy::at_most_once; });
    if (it.limits.body_bytes == 0 && changes_something != it.routes.end()) {
        out.push_back({severity::warning,
                       {.member = member::limit_body_bytes},
                       "no request may have a body, but the route " +
                           route_text(*changes_something) + " does more than read",
                       "its requests with a body are refused"});
    }
    if (it.limits.head_timeout <= duration{0}) {
        out.push_back({severity::warning,
                       {.member = member::limit_head_timeout},
                       "the time for headers is 0",
                       "a request whose headers do not come in one piece is refused"});
    }
    if (it.limits.idle_timeout <= duration{0}) {
        out.push_back({severity::warning,
                       {.member = member::limit_idle_timeout},
                       "the time for which a connection may be idle is 0",
                       "callers lose their connection after each answer, and may lose it before "
                       "the first request"});
    }
}

} // namespace

std::vector<configuration_finding> check_configuration(const configuration& it)
{
    findings out;
    if (it.version == config_version{}) {
        out.push_back({severity::error,
                       {.member = member::version},
                       "the version is 0",
                       "hosts take only versions above the one that they have, which is 0 at "
                       "their start"});
    }
    check_routes(it, out);
    check_services(it, out);
    check_limits(it, out);
    return out;
}

} // namespace quincewing
