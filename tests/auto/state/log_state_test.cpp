#include "quincewing/state/log_bootstrap.hpp"
#include "quincewing/state/log_state.hpp"

#include <doctest/doctest.h>

using namespace quincewing;

namespace {

record make(std::uint64_t n, record_body body)
{
    return {.id = record_id{"r" + std::to_string(n)},
            .author = host_id{"h/1"},
            .body = std::move(body)};
}

initial_deployment two_servers()
{
    initial_deployment out;
    out.services.push_back({.id = service_id{"v"}, .shards = 4, .keyed = true});
    for (const auto* name : {"s0", "s1"}) {
        out.servers.push_back({.id = server_id{name},
                               .service = service_id{"v"},
                               .data_centre = data_centre_id{"a"},
                               .address = "127.0.0.1:1"});
    }
    return out;
}

log_state founded()
{
    log_state state;
    REQUIRE(state.apply(log_offset{1}, make(1, two_servers())).accepted);
    return state;
}

plan_confirmed plan(const char* id, std::uint64_t version)
{
    return {.plan = plan_id{id}, .expected_version = version, .set = {{"x", id}}};
}

} // namespace

TEST_CASE("state: a second initial deployment is void")
{
    auto state = founded();
    CHECK_FALSE(state.apply(log_offset{2}, make(2, two_servers())).accepted);
    CHECK(state.shards().size() == 4);
}

TEST_CASE("state: of two plans from one version the second is void and names the first")
{
    auto state = founded();
    CHECK(state.apply(log_offset{2}, make(2, plan("p1", 1))).accepted);
    const auto second = state.apply(log_offset{3}, make(3, plan("p2", 1)));
    CHECK_FALSE(second.accepted);
    CHECK(second.reason.find("p1") != std::string::npos);
    CHECK(state.operator_settings().at("x") == "p1");
}

TEST_CASE("state: a record that comes twice counts once")
{
    auto state = founded();
    const auto it = make(7, plan("p1", 1));
    CHECK(state.apply(log_offset{2}, it).accepted);
    CHECK_FALSE(state.apply(log_offset{3}, it).accepted);
    CHECK(state.find_plan(plan_id{"p1"})->accepted);
}

TEST_CASE("state: a shard that still moves is not moved again")
{
    auto state = founded();
    const shard_id shard{service_id{"v"}, 0};
    const auto fence = state.shards().at(shard).fence;
    shard_moves moves{.from = server_id{"s0"}};
    moves.moves.push_back({shard, fence, server_id{"s1"}, server_id{"s0"}});
    CHECK(state.apply(log_offset{2}, make(2, moves)).accepted);
    moves.moves[0].expected_fence = state.shards().at(shard).fence;
    moves.moves[0].to = server_id{"s0"};
    CHECK_FALSE(state.apply(log_offset{3}, make(3, moves)).accepted);
    moves_completed settled;
    settled.items.push_back({shard, state.shards().at(shard).fence});
    CHECK(state.apply(log_offset{4}, make(4, settled)).accepted);
    CHECK(state.apply(log_offset{5}, make(5, moves)).accepted);
}

TEST_CASE("state: a start from a snapshot equals a full replay, also when the beginning is gone")
{
    auto state = founded();
    log_bootstrap from_all;
    log_bootstrap from_tail;
    from_all.add(log_offset{1}, make(1, two_servers()));
    std::uint64_t offset = 1;
    const auto put = [&](record_body body, bool kept) {
        ++offset;
        const auto it = make(offset, std::move(body));
        state.apply(log_offset{offset}, it);
        from_all.add(log_offset{offset}, it);
        if (kept) {
            from_tail.add(log_offset{offset}, it);
        }
    };
    put(plan("p1", 1), false);
    for (auto& chunk : make_snapshot(state, 100)) {
        put(chunk, true);
    }
    put(plan("p2", 2), true);
    REQUIRE(from_all.finish(log_offset{1}));
    const auto short_way = from_tail.finish(log_offset{3});
    REQUIRE(short_way);
    CHECK(from_all.finish(log_offset{1})->serialise() == state.serialise());
    CHECK(short_way->operator_settings() == state.operator_settings());
    CHECK(short_way->shards().size() == state.shards().size());
}

TEST_CASE("state: without its beginning and a whole snapshot a log gives no state")
{
    log_bootstrap it;
    it.add(log_offset{9}, make(9, plan("p", 1)));
    CHECK_FALSE(it.finish(log_offset{9}));
}

TEST_CASE("state: bytes that are no record are refused")
{
    CHECK_FALSE(decode_record("no record"));
    auto newer = make(1, plan("p", 1));
    newer.version = 2;
    CHECK_FALSE(decode_record(encode_record(newer)));
}
