#include "quincewing/placement/planner.hpp"

#include <algorithm>
#include <doctest/doctest.h>

using namespace quincewing;

namespace {

log_state state_with(int servers, std::uint32_t shards)
{
    initial_deployment deployment;
    deployment.services.push_back({.id = service_id{"v"}, .shards = shards, .keyed = true});
    for (int i = 0; i < servers; ++i) {
        deployment.servers.push_back({.id = server_id{"s" + std::to_string(i)},
                                      .service = service_id{"v"},
                                      .data_centre = data_centre_id{"a"},
                                      .address = "127.0.0.1:1"});
    }
    log_state state;
    state.apply(log_offset{1}, {.id = record_id{"1"}, .author = host_id{"h"}, .body = deployment});
    return state;
}

server_entry make_server(const char* name)
{
    return {.id = server_id{name},
            .service = service_id{"v"},
            .data_centre = data_centre_id{"a"},
            .address = "127.0.0.1:9"};
}

} // namespace

TEST_CASE("planner: adding a server balances the load with few moves")
{
    const auto state = state_with(4, 100);
    const auto result = make_plan(state, add_intent{make_server("s9")}, {}, {});
    REQUIRE(result);
    CHECK(result->forecast.shards_moved <= 21);
    CHECK(result->forecast.imbalance_after <= 1.10);
    for (const auto& move : result->record.moves) {
        CHECK(move.to == server_id{"s9"});
    }
}

TEST_CASE("planner: a retired server is neither owner nor standby of any shard")
{
    const auto state = state_with(4, 100);
    const auto result = make_plan(state, retire_intent{server_id{"s1"}}, {}, {});
    REQUIRE(result);
    CHECK(result->forecast.shards_moved == 25);
    for (const auto& move : result->record.moves) {
        CHECK(move.to != server_id{"s1"});
        CHECK(move.standby != server_id{"s1"});
    }
    auto next = state;
    CHECK(next.apply(log_offset{2},
                     {.id = record_id{"2"}, .author = host_id{"h"}, .body = result->record})
              .accepted);
    for (const auto& [shard, entry] : next.shards()) {
        CHECK(entry.owner != server_id{"s1"});
        CHECK(entry.standby != server_id{"s1"});
    }
}

TEST_CASE("planner: no shard is moved to a lost server")
{
    const auto state = state_with(4, 100);
    const auto result =
        make_plan(state, retire_intent{server_id{"s1"}}, {}, {.lost_servers = {server_id{"s2"}}});
    REQUIRE(result);
    CHECK(
        std::none_of(result->record.moves.begin(), result->record.moves.end(), [&](const auto& m) {
            // The plan may replace the standby of a shard that stays with the lost server.
            const bool stays = state.shards().at(m.shard).owner == m.to;
            return m.to == server_id{"s2"} && !stays;
        }));
}

TEST_CASE("planner: more imbalance is tolerated when moves weigh more")
{
    CHECK(tolerated_imbalance({.weight_imbalance = 1, .weight_churn = 5}) >
          tolerated_imbalance({.weight_imbalance = 5, .weight_churn = 1}));
}

TEST_CASE("planner: plans for unknown or duplicate servers are rejected")
{
    const auto state = state_with(2, 4);
    CHECK_FALSE(make_plan(state, retire_intent{server_id{"x"}}, {}, {}));
    CHECK_FALSE(make_plan(state, add_intent{make_server("s0")}, {}, {}));
    CHECK_FALSE(make_plan(state, pin_intent{service_id{"v"}, "k", server_id{"x"}}, {}, {}));
}
