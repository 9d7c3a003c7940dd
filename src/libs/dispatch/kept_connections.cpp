#include "quincewing/dispatch/kept_connections.hpp"

#include <algorithm>
#include <iterator>

namespace quincewing {

void kept_connections::drop_old(instant now, idle_times& times) const
{
    std::erase_if(times, [&](instant at) { return now - at >= options_.memory; });
}

void kept_connections::on_answered(instant now, const host_id& host, const server_id& server)
{
    auto& servers = hosts_[host];
    for (auto it = servers.begin(); it != servers.end();) {
        drop_old(now, it->second);
        it = it->second.empty() ? servers.erase(it) : std::next(it);
    }
    auto& times = servers[server];
    if (times.size() >= options_.max_idle) {
        times.erase(times.begin());
    }
    times.push_back(now);
}

// The connection that was used last is taken first.
void kept_connections::on_granted(instant now, const host_id& host, const server_id& server)
{
    const auto found = hosts_.find(host);
    if (found == hosts_.end()) {
        return;
    }
    const auto times = found->second.find(server);
    if (times == found->second.end()) {
        return;
    }
    drop_old(now, times->second);
    if (!times->second.empty()) {
        times->second.pop_back();
    }
    if (times->second.empty()) {
        found->second.erase(times);
    }
}

std::vector<server_id> kept_connections::servers_of(instant now, const host_id& host) const
{
    std::vector<server_id> out;
    const auto found = hosts_.find(host);
    if (found == hosts_.end()) {
        return out;
    }
    for (const auto& [server, times] : found->second) {
        if (now - times.back() < options_.memory) {
            out.push_back(server);
        }
    }
    return out;
}

} // namespace quincewing
