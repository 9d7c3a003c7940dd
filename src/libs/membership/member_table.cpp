#include "quincewing/membership/member_table.hpp"

#include "quincewing/base/hash.hpp"

#include <algorithm>
#include <tuple>

namespace quincewing {

void member_table::on_heartbeat(instant now, const host_id& host, const data_centre_id& data_centre)
{
    auto& it = members_[host];
    it.host = host;
    it.data_centre = data_centre;
    it.last_heartbeat = now;
}

void member_table::on_leaving(const host_id& host)
{
    if (const auto found = members_.find(host); found != members_.end()) {
        found->second.leaving = true;
    }
}

void member_table::remove(const host_id& host)
{
    members_.erase(host);
}

void member_table::remove_expired(instant now)
{
    std::erase_if(members_, [&](const auto& it) {
        return now - it.second.last_heartbeat > options_.removal_timeout;
    });
}

bool member_table::is_live(instant now, const host_id& host) const
{
    const auto found = members_.find(host);
    return found != members_.end() &&
           now - found->second.last_heartbeat <= options_.liveness_timeout;
}

std::vector<member> member_table::available(instant now) const
{
    std::vector<member> out;
    for (const auto& [host, it] : members_) {
        if (!it.leaving && now - it.last_heartbeat <= options_.liveness_timeout) {
            out.push_back(it);
        }
    }
    return out;
}

std::vector<host_id> rendezvous_order(const std::string& name, const std::vector<member>& hosts,
                                      const data_centre_id& preferred)
{
    std::vector<std::tuple<bool, std::uint64_t, host_id>> ranked;
    ranked.reserve(hosts.size());
    const auto seed = stable_hash(name);
    for (const auto& it : hosts) {
        ranked.emplace_back(it.data_centre != preferred, stable_hash(it.host.value, seed), it.host);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<host_id> out;
    out.reserve(ranked.size());
    for (auto& [other_data_centre, rank, host] : ranked) {
        out.push_back(std::move(host));
    }
    return out;
}

} // namespace quincewing
