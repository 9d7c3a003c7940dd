#include "quincewing/dispatch/relay_hosts.hpp"

#include <algorithm>

namespace quincewing {

namespace {

// A host that told nothing yet of a cut tells it within this time.
constexpr seconds failure_memory{1};

} // namespace

void relay_hosts::add(const host_id& host, const data_centre_id& data_centre)
{
    hosts_[host] = data_centre;
    ways_.clear();
}

void relay_hosts::remove(const host_id& host)
{
    hosts_.erase(host);
    unreached_.erase(host);
    std::erase_if(failed_at_, [&](const auto& it) { return it.first.first == host; });
    ways_.clear();
}

void relay_hosts::set_leaving(const host_id& host)
{
    leaving_.insert(host);
    ways_.clear();
}

void relay_hosts::set_unreached(const host_id& host, unreached_services services)
{
    unreached_[host] = std::move(services);
    ways_.clear();
}

const unreached_services& relay_hosts::unreached_by(const host_id& host) const
{
    static const unreached_services none;
    const auto found = unreached_.find(host);
    return found == unreached_.end() ? none : found->second;
}

void relay_hosts::on_failed(instant now, const host_id& host, const service_id& service)
{
    if (hosts_.contains(host)) {
        failed_at_[{host, service}] = now;
    }
}

const relay_hosts::ways& relay_hosts::ways_to(const service_id& service)
{
    const auto [found, inserted] = ways_.try_emplace(service);
    if (!inserted) {
        return found->second;
    }
    for (const auto& [host, data_centre] : hosts_) {
        if (!leaving_.contains(host) && !unreached_by(host).contains(service)) {
            (data_centre == own_ ? found->second.near : found->second.far).push_back(host);
        }
    }
    return found->second;
}

bool relay_hosts::passed_over(instant now, const host_id& host, const service_id& service) const
{
    const auto found = failed_at_.find({host, service});
    return found != failed_at_.end() && now - found->second < failure_memory;
}

std::optional<host_id> relay_hosts::choose_from(instant now, const std::vector<host_id>& hosts,
                                                const service_id& service,
                                                const std::set<host_id>& tried,
                                                bool may_have_failed)
{
    const auto n = hosts.size();
    const auto first = n == 0 ? 0 : random_() % n;
    for (std::size_t i = 0; i < n; ++i) {
        const auto& host = hosts[(first + i) % n];
        if (!tried.contains(host) && (may_have_failed || !passed_over(now, host, service))) {
            return host;
        }
    }
    return std::nullopt;
}

std::optional<host_id> relay_hosts::choose(instant now, const service_id& service,
                                           const std::set<host_id>& tried)
{
    const auto& ways = ways_to(service);
    const auto* first = tried.empty() ? &ways.near : &ways.far;
    const auto* second = tried.empty() ? &ways.far : &ways.near;
    for (const bool may_have_failed : {false, true}) {
        for (const auto* hosts : {first, second}) {
            auto it = choose_from(now, *hosts, service, tried, may_have_failed);
            if (it) {
                return it;
            }
        }
    }
    return std::nullopt;
}

std::optional<std::size_t> relay_hosts::fewest_unreached(const std::set<service_id>& services) const
{
    std::optional<std::size_t> out;
    for (const auto& [host, data_centre] : hosts_) {
        if (leaving_.contains(host)) {
            continue;
        }
        const auto& unreached = unreached_by(host);
        const auto n = std::count_if(services.begin(), services.end(),
                                     [&](const auto& id) { return unreached.contains(id); });
        out = std::min(out.value_or(services.size()), static_cast<std::size_t>(n));
    }
    return out;
}

bool relay_hosts::cut(const host_id& host) const
{
    return !unreached_by(host).empty();
}

std::size_t relay_hosts::cut_hosts() const
{
    return static_cast<std::size_t>(
        std::count_if(hosts_.begin(), hosts_.end(), [&](const auto& it) { return cut(it.first); }));
}

} // namespace quincewing
