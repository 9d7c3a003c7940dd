#include "quincewing/deployment/warm_up_tracker.hpp"

namespace quincewing {

void warm_up_tracker::on_servers(instant now, const backend_servers& servers)
{
    std::map<server_id, cold_server> next;
    for (const auto& [id, server] : servers) {
        if (server.warm_up_left == 0) {
            continue;
        }
        const auto known = cold_.find(id);
        const bool same = known != cold_.end() && known->second.start == server.start &&
                          server.warm_up_left <= known->second.told;
        const auto left = duration{static_cast<duration::rep>(server.warm_up_left)};
        next[id] = {.start = server.start,
                    .until = same ? known->second.until : now + left + options_.margin,
                    .told = server.warm_up_left};
    }
    cold_ = std::move(next);
}

bool warm_up_tracker::cold(instant now, const backend_server& server) const
{
    const auto found = cold_.find(server.id);
    return found != cold_.end() && found->second.start == server.start && now < found->second.until;
}

} // namespace quincewing
