#include "quincewing/deployment/server_changes.hpp"

namespace quincewing {

server_changes difference(std::uint64_t from_offset, const backend_servers& from,
                          const backend_servers& to)
{
    server_changes out{.from = from_offset};
    for (const auto& [id, server] : to) {
        const auto found = from.find(id);
        if (found == from.end() || found->second != server) {
            out.changed.push_back(server);
        }
    }
    for (const auto& [id, server] : from) {
        if (!to.contains(id)) {
            out.removed.push_back(id);
        }
    }
    return out;
}

std::vector<backend_server> apply_server_changes(const backend_servers& from,
                                                 const server_changes& changes)
{
    auto all = from;
    for (const auto& id : changes.removed) {
        all.erase(id);
    }
    for (const auto& server : changes.changed) {
        all[server.id] = server;
    }
    std::vector<backend_server> out;
    out.reserve(all.size());
    for (auto& [id, server] : all) {
        out.push_back(std::move(server));
    }
    return out;
}

} // namespace quincewing
