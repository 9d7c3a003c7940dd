#pragma once

#include "quincewing/routing/backend_server.hpp"

#include <vector>

namespace quincewing {

/// The changes that turn an earlier list of servers into a later one.
struct server_changes
{
    /// Offset of the last change of the earlier list.
    std::uint64_t from{};
    std::vector<server_id> removed;
    /// Servers that are new or different.
    std::vector<backend_server> changed;

    template <class F>
    void each_field(F&& f)
    {
        f(from);
        f(removed);
        f(changed);
    }
};

/// from_offset is the offset of the last change of the earlier list.
server_changes difference(std::uint64_t from_offset, const backend_servers& from,
                          const backend_servers& to);
/// The later list, whole.
std::vector<backend_server> apply_server_changes(const backend_servers& from,
                                                 const server_changes& changes);

} // namespace quincewing
