#pragma once

#include "quincewing/routing/backend_server.hpp"

#include <vector>

namespace quincewing {

/// What makes one list of servers out of an earlier one.
struct server_changes
{
    /// Offset of the last change of the earlier list.
    std::uint64_t from{};
    std::vector<server_id> gone;
    std::vector<backend_server> changed;

    template <class F>
    void each_field(F&& f)
    {
        f(from);
        f(gone);
        f(changed);
    }
};

server_changes difference(std::uint64_t from_offset, const backend_servers& from,
                          const backend_servers& to);
std::vector<backend_server> apply_server_changes(const backend_servers& from,
                                                 const server_changes& it);

} // namespace quincewing
