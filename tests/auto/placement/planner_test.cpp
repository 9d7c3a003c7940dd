#include "quincewing/placement/planner.hpp"

#include <algorithm>
#include <doctest/doctest.h>

using namespace quincewing;

namespace {

log_state founded(int servers, std::uint32_t shards)
{
    initial_deployment it;
    it.services.push_back({.id = service_id{"v"}, .shards = shards, .keyed = true});
    for (int i = 0; i < servers; ++i) {
        it.servers.push_back({.id = server_id{"s" + std::to_string(i)},
                              .service = service_id{"v"},
                              .data_centre = data_centre_id{"a"},
                              .address = "127.0.0.1:1"});
    }
    log_state state;
    state.apply(log_offset{1}, {.id = record_id{"1"}, .author = host_id{"h"}, .body = it});
    return state;
}

server_entry server(const char* name)
{
    return {.id = server_id{name},
            .service = service_id{"v"},
            .data_centre = data_centre_id{"a"},
            .address = "127.0.0.1:9"};
}

} // namespace

TEST_CASE("planner: an added server gets its share by the fewest moves")
{
    const auto state = founded(4, 100);
    const auto it = make_plan(state, add_intent{server("s9")}, {}, {});
    REQUIRE(it);
    CHECK(it->forecast.shards_moved <= 21);
    CHECK(it->forecast.imbalance_after <= 1.10);
    for (const auto& move : it->record.moves) {
        CHECK(move.to == server_id{"s9"});
    }
}

TEST_CASE("planner: a retired server loses all its shards and is nobody's standby")
{
    const auto state = founded(4, 100);
    const auto it = make_plan(state, retire_intent{server_id{"s1"}}, {}, {});
    REQUIRE(it);
    CHECK(it->forecast.shards_moved == 25);
    for (const auto& move : it->record.moves) {
        CHECK(move.to != server_id{"s1"});
        CHECK(move.standby != server_id{"s1"});
    }
    auto next = state;
    CHECK(next.apply(log_offset{2},
                     {.id = record_id{"2"}, .author = host_id{"h"}, .body = it->record})
              .accepted);
    for (const auto& [shard, entry] : next.shards()) {
        CHECK(entry.owner != server_id{"s1"});
        CHECK(entry.standby != server_id{"s1"});
    }
}

TEST_CASE("planner: nothing is moved onto a server that is known lost")
{
    const auto state = founded(4, 100);
    const auto it =
        make_plan(state, retire_intent{server_id{"s1"}}, {}, {.lost_servers = {server_id{"s2"}}});
    REQUIRE(it);
    CHECK(std::none_of(it->record.moves.begin(), it->record.moves.end(), [&](const auto& m) {
        // A shard that stays there may still get another standby server.
        const bool stays = state.shards().at(m.shard).owner == m.to;
        return m.to == server_id{"s2"} && !stays;
    }));
}

TEST_CASE("planner: dearer moves leave more imbalance standing")
{
    CHECK(tolerated_imbalance({.weight_imbalance = 1, .weight_churn = 5}) >
          tolerated_imbalance({.weight_imbalance = 5, .weight_churn = 1}));
}

TEST_CASE("planner: unknown names are refused with a reason")
{
    const auto state = founded(2, 4);
    CHECK_FALSE(make_plan(state, retire_intent{server_id{"x"}}, {}, {}));
    CHECK_FALSE(make_plan(state, add_intent{server("s0")}, {}, {}));
    CHECK_FALSE(make_plan(state, pin_intent{service_id{"v"}, "k", server_id{"x"}}, {}, {}));
}
