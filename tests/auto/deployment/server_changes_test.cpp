#include "quincewing/deployment/server_changes.hpp"

#include <doctest/doctest.h>

using namespace quincewing;

namespace {

backend_server server(const char* id, std::uint64_t start, bool draining = false)
{
    return {.id = server_id{id}, .start = server_start{start}, .draining = draining};
}

backend_servers make_list(std::initializer_list<backend_server> servers)
{
    backend_servers out;
    for (const auto& server : servers) {
        out.emplace(server.id, server);
    }
    return out;
}

} // namespace

TEST_CASE("server changes: a removed, a draining, a restarted and a new server")
{
    const auto from = make_list({server("a", 1), server("b", 1), server("c", 1)});
    const auto to = make_list({server("b", 1, true), server("c", 2), server("d", 1)});
    const auto changes = difference(17, from, to);
    CHECK(changes.from == 17);
    CHECK(changes.removed == std::vector<server_id>{server_id{"a"}});
    CHECK(changes.changed.size() == 3);
    backend_servers result;
    for (const auto& server : apply_server_changes(from, changes)) {
        result.emplace(server.id, server);
    }
    CHECK(result == to);
}

TEST_CASE("server changes: unchanged servers are not listed")
{
    const auto from = make_list({server("a", 1), server("b", 1)});
    const auto changes = difference(17, from, from);
    CHECK(changes.changed.empty());
    CHECK(changes.removed.empty());
}
