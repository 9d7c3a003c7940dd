#include "quincewing/state/log_bootstrap.hpp"
#include "quincewing/state/log_state.hpp"

#include <doctest/doctest.h>

using namespace quincewing;

namespace {

record make_record(std::uint64_t number, record_body body)
{
    return {.id = record_id{"r" + std::to_string(number)},
            .author = host_id{"h/1"},
            .body = std::move(body)};
}

initial_deployment two_servers()
{
    initial_deployment deployment;
    deployment.services.push_back({.id = service_id{"v"}, .shards = 4, .keyed = true});
    for (const auto* name : {"s0", "s1"}) {
        deployment.servers.push_back({.id = server_id{name},
                                      .service = service_id{"v"},
                                      .data_centre = data_centre_id{"a"},
                                      .address = "127.0.0.1:1"});
    }
    return deployment;
}

log_state state_with_two_servers()
{
    log_state state;
    REQUIRE(state.apply(log_offset{1}, make_record(1, two_servers())).accepted);
    return state;
}

plan_confirmed make_plan_record(const char* id, std::uint64_t version)
{
    return {.plan = plan_id{id}, .expected_version = version, .set = {{"x", id}}};
}

} // namespace

TEST_CASE("state: a second initial deployment is void")
{
    auto state = state_with_two_servers();
    CHECK_FALSE(state.apply(log_offset{2}, make_record(2, two_servers())).accepted);
    CHECK(state.shards().size() == 4);
}

TEST_CASE("state: of two plans for the same version the second is void and names the first")
{
    auto state = state_with_two_servers();
    CHECK(state.apply(log_offset{2}, make_record(2, make_plan_record("p1", 1))).accepted);
    const auto second = state.apply(log_offset{3}, make_record(3, make_plan_record("p2", 1)));
    CHECK_FALSE(second.accepted);
    CHECK(second.reason.find("p1") != std::string::npos);
    CHECK(state.operator_settings().at("x") == "p1");
}

TEST_CASE("state: a duplicate record is applied once")
{
    auto state = state_with_two_servers();
    const auto rec = make_record(7, make_plan_record("p1", 1));
    CHECK(state.apply(log_offset{2}, rec).accepted);
    CHECK_FALSE(state.apply(log_offset{3}, rec).accepted);
    CHECK(state.find_plan(plan_id{"p1"})->accepted);
}

TEST_CASE("state: a shard is not moved again until its last move is completed")
{
    auto state = state_with_two_servers();
    const shard_id shard{service_id{"v"}, 0};
    const auto fence = state.shards().at(shard).fence;
    shard_moves moves{.from = server_id{"s0"}};
    moves.moves.push_back({shard, fence, server_id{"s1"}, server_id{"s0"}});
    CHECK(state.apply(log_offset{2}, make_record(2, moves)).accepted);
    moves.moves[0].expected_fence = state.shards().at(shard).fence;
    moves.moves[0].to = server_id{"s0"};
    CHECK_FALSE(state.apply(log_offset{3}, make_record(3, moves)).accepted);
    moves_completed completed;
    completed.items.push_back({shard, state.shards().at(shard).fence});
    CHECK(state.apply(log_offset{4}, make_record(4, completed)).accepted);
    CHECK(state.apply(log_offset{5}, make_record(5, moves)).accepted);
}

TEST_CASE("state: a truncated log with a snapshot gives the same state as a full replay")
{
    auto state = state_with_two_servers();
    log_bootstrap full_replay;
    log_bootstrap from_snapshot;
    full_replay.add(log_offset{1}, make_record(1, two_servers()));
    std::uint64_t offset = 1;
    const auto append = [&](record_body body, bool kept) {
        ++offset;
        const auto rec = make_record(offset, std::move(body));
        state.apply(log_offset{offset}, rec);
        full_replay.add(log_offset{offset}, rec);
        if (kept) {
            from_snapshot.add(log_offset{offset}, rec);
        }
    };
    append(make_plan_record("p1", 1), false);
    for (auto& chunk : make_snapshot(state, 100)) {
        append(chunk, true);
    }
    append(make_plan_record("p2", 2), true);
    REQUIRE(full_replay.finish(log_offset{1}));
    const auto state_from_snapshot = from_snapshot.finish(log_offset{3});
    REQUIRE(state_from_snapshot);
    CHECK(full_replay.finish(log_offset{1})->serialise() == state.serialise());
    CHECK(state_from_snapshot->operator_settings() == state.operator_settings());
    CHECK(state_from_snapshot->shards().size() == state.shards().size());
}

TEST_CASE("state: a truncated log without a complete snapshot gives no state")
{
    log_bootstrap bootstrap;
    bootstrap.add(log_offset{9}, make_record(9, make_plan_record("p", 1)));
    CHECK_FALSE(bootstrap.finish(log_offset{9}));
}

TEST_CASE("state: malformed records and records of a newer version are rejected")
{
    CHECK_FALSE(decode_record("no record"));
    auto newer = make_record(1, make_plan_record("p", 1));
    newer.version = 2;
    CHECK_FALSE(decode_record(encode_record(newer)));
}
