#include "quincewing/deployment/server_changes.hpp"

namespace quincewing {

server_changes difference(std::uint64_t from_offset, const backend_servers& from,
                          const backend_servers& to)
{
    server_changes out{.from = from_offset};
    for (const auto& [id, it] : to) {
        const auto found = from.find(id);
        if (found == from.end() || found->second != it) {
            out.changed.push_back(it);
        }
    }
    for (const auto& [id, it] : from) {
        if (!to.contains(id)) {
            out.gone.push_back(id);
        }
    }
    return out;
}

std::vector<backend_server> apply_server_changes(const backend_servers& from,
                                                 const server_changes& it)
{
    auto all = from;
    for (const auto& id : it.gone) {
        all.erase(id);
    }
    for (const auto& server : it.changed) {
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
