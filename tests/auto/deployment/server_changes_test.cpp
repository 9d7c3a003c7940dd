#include "quincewing/deployment/server_changes.hpp"

#include <doctest/doctest.h>

using namespace quincewing;

namespace {

backend_server server(const char* id, std::uint64_t start, bool draining = false)
{
    return {.id = server_id{id}, .start = server_start{start}, .draining = draining};
}

backend_servers list(std::initializer_list<backend_server> servers)
{
    backend_servers out;
    for (const auto& it : servers) {
        out.emplace(it.id, it);
    }
    return out;
}

} // namespace

TEST_CASE("server changes: one that leaves, one that started anew, one that is new")
{
    const auto from = list({server("a", 1), server("b", 1), server("c", 1)});
    const auto to = list({server("b", 1, true), server("c", 2), server("d", 1)});
    const auto it = difference(17, from, to);
    CHECK(it.from == 17);
    CHECK(it.gone == std::vector<server_id>{server_id{"a"}});
    CHECK(it.changed.size() == 3);
    backend_servers got;
    for (const auto& each : apply_server_changes(from, it)) {
        got.emplace(each.id, each);
    }
    CHECK(got == to);
}

TEST_CASE("server changes: what is the same is not told")
{
    const auto from = list({server("a", 1), server("b", 1)});
    const auto it = difference(17, from, from);
    CHECK(it.changed.empty());
    CHECK(it.gone.empty());
}
