#include "configuration_texts.hpp"

#include "quincewing/routing/configuration_changes.hpp"
#include "quincewing/routing/configuration_check.hpp"

#include <algorithm>
#include <map>

namespace quincewing {

namespace {

using member = configuration_member;
using findings = std::vector<configuration_finding>;

/// Index of each route that can match: of several with one host and prefix the first.
std::map<route_id, std::size_t> routes_by_id(const configuration& it)
{
    std::map<route_id, std::size_t> out;
    for (std::size_t i = 0; i < it.routes.size(); ++i) {
        out.emplace(route_id{.host = it.routes[i].host, .path_prefix = it.routes[i].path_prefix},
                    i);
    }
    return out;
}

/// Shares that get requests. The weight of a single one does not matter.
std::vector<service_share> used_shares(const route& it)
{
    std::vector<service_share> out;
    std::copy_if(it.shares.begin(), it.shares.end(), std::back_inserter(out),
                 [](const auto& share) { return share.weight > 0; });
    if (out.size() == 1) {
        out.front().weight = 1;
    }
    return out;
}

std::string shares_text(const std::vector<service_share>& shares)
{
    if (shares.empty()) {
        return "no service";
    }
    if (shares.size() == 1) {
        return shares.front().service.value;
    }
    std::string out;
    for (const auto& it : shares) {
        out += (out.empty() ? "" : ", ") + it.service.value + " " + std::to_string(it.weight);
    }
    return out;
}

const char* retry_text(retry_policy it)
{
    return it == retry_policy::idempotent ? "may run any number of times" : "may run at most once";
}

const char* keyed_text(bool keyed)
{
    return keyed ? "divided by key" : "not divided by key";
}

std::string warm_up_text(request_rate it)
{
    return it > request_rate{0} ? number_text(it.value) + " per second" : "no limit";
}

std::string bytes_text(std::uint64_t it)
{
    return std::to_string(it) + " bytes";
}

/// Collects the differences of one route, one service, or the limits.
class difference_list
{
public:
    difference_list(std::string subject, configuration_place place, findings& out)
        : subject_(std::move(subject)), place_(std::move(place)), out_(out)
    {
    }

    void add(member where, const std::string& what)
    {
        place_.member = where;
        out_.push_back({finding_severity::change, place_, subject_ + ": " + what, ""});
    }
    /// Adds "NAME FROM -> TO" if the two differ.
    template <class T, class Text>
    void compare(member where, const std::string& name, const T& from, const T& to, Text text)
    {
        if (from != to) {
            add(where, name + (name.empty() ? "" : " ") + text(from) + " -> " + text(to));
        }
    }

private:
    std::string subject_;
    configuration_place place_;
    findings& out_;
};

void compare_shares(const route& from, const route& to, difference_list& out)
{
    const auto before = used_shares(from);
    const auto after = used_shares(to);
    if (before == after) {
        return;
    }
    out.add(member::route_shares, (after.size() > 1 ? "split " : "moved ") + shares_text(before) +
                                      " -> " + shares_text(after));
}

void compare_routes(const route& from, const route& to, std::size_t index, findings& all)
{
    difference_list out{"route " + route_text(to), {.route = index}, all};
    const auto number = [](std::uint32_t it) { return std::to_string(it); };
    out.compare(member::route_name, "name", from.name, to.name,
                [](const std::string& it) { return "'" + it + "'"; });
    compare_shares(from, to, out);
    out.compare(member::route_timeout, "timeout", from.timeout, to.timeout, milliseconds_text);
    out.compare(member::route_latency_objective, "latency objective", from.latency_objective,
                to.latency_objective, milliseconds_text);
    out.compare(member::route_max_servers, "attempts", from.max_servers, to.max_servers, number);
    out.compare(member::route_priority, "priority", from.priority, to.priority, number);
    out.compare(member::route_retry, "a request", from.retry, to.retry, retry_text);
}

void compare_all_routes(const configuration& from, const configuration& to, findings& out)
{
    auto before = routes_by_id(from);
    const auto after = routes_by_id(to);
    for (std::size_t i = 0; i < to.routes.size(); ++i) {
        const auto& route = to.routes[i];
        const route_id id{.host = route.host, .path_prefix = route.path_prefix};
        if (after.at(id) != i) {
            continue;
        }
        const auto found = before.find(id);
        if (found == before.end()) {
            out.push_back(
                {finding_severity::change,
                 {.member = member::route, .route = i},
                 "route " + route_text(route) + ": added, to " + shares_text(used_shares(route)),
                 ""});
            continue;
        }
        compare_routes(from.routes[found->second], route, i, out);
        before.erase(found);
    }
    for (const auto& [id, i] : before) {
        out.push_back({finding_severity::change,
                       {.member = member::route, .route = i, .in_force = true},
                       "route " + route_text(from.routes[i]) + ": removed",
                       ""});
    }
}

void compare_services(const configuration& from, const configuration& to, findings& all)
{
    for (const auto& [id, after] : to.services) {
        difference_list out{"service " + id.value, {.service = id}, all};
        const auto found = from.services.find(id);
        if (found == from.services.end()) {
            out.add(member::service, std::string{"added, "} + keyed_text(after.keyed));
            continue;
        }
        const auto& before = found->second;
        out.compare(member::service_keyed, "", before.keyed, after.keyed, keyed_text);
        out.compare(member::service_max_connections, "connections", before.max_connections,
                    after.max_connections, [](std::uint32_t it) { return std::to_string(it); });
        out.compare(member::service_warm_up_rate, "warm-up rate", before.warm_up_rate,
                    after.warm_up_rate, warm_up_text);
    }
    for (const auto& [id, before] : from.services) {
        if (!to.services.contains(id)) {
            difference_list{"service " + id.value, {.service = id, .in_force = true}, all}.add(
                member::service, "removed");
        }
    }
}

void compare_limits(const caller_limits& from, const caller_limits& to, findings& all)
{
    difference_list out{"limits", {}, all};
    out.compare(member::limit_head_bytes, "headers", from.head_bytes, to.head_bytes, bytes_text);
    out.compare(member::limit_body_bytes, "bodies", from.body_bytes, to.body_bytes, bytes_text);
    out.compare(member::limit_head_timeout, "time for headers", from.head_timeout, to.head_timeout,
                milliseconds_text);
    out.compare(member::limit_idle_timeout, "idle connections", from.idle_timeout, to.idle_timeout,
                milliseconds_text);
}

} // namespace

std::vector<configuration_finding> compare_configurations(const configuration& in_force,
                                                          const configuration& next)
{
    findings out;
    if (next.version <= in_force.version) {
        out.push_back({finding_severity::error,
                       {.member = member::version},
                       "the version " + std::to_string(next.version.value) +
                           " is not above the one in force, " +
                           std::to_string(in_force.version.value),
                       "hosts ignore it"});
    }
    compare_all_routes(in_force, next, out);
    compare_services(in_force, next, out);
    compare_limits(in_force.limits, next.limits, out);
    return out;
}

} // namespace quincewing
