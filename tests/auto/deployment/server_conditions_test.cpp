#include "quincewing/deployment/server_conditions.hpp"

#include <doctest/doctest.h>

using namespace quincewing;

namespace {

constexpr instant start{seconds{100}};
const backend_server process{.id = server_id{"s0"}, .start = server_start{1}};

server_notice limit_of(double per_second)
{
    return {.rate_limit = request_rate{per_second}};
}

} // namespace

TEST_CASE("server conditions: a limit holds until an answer without it")
{
    server_conditions conditions;
    CHECK_FALSE(conditions.on_notice(start, process, start, {}).shared);
    CHECK(conditions.on_notice(start, process, start - millis{100}, limit_of(2)).shared);
    CHECK(conditions.rate_limit(process) == request_rate{2});
    CHECK(conditions.limited_since(process) == start);
    // Sent before the limit was named: the server may have answered before.
    CHECK_FALSE(conditions.on_notice(start + millis{50}, process, start - millis{50}, {}).shared);
    CHECK(conditions.rate_limit(process) == request_rate{2});
    CHECK(conditions.on_notice(start + millis{200}, process, start + millis{100}, {}).shared);
    CHECK_FALSE(conditions.rate_limit(process));
}

TEST_CASE("server conditions: a lower limit holds at once, a higher one for later requests")
{
    server_conditions conditions;
    conditions.on_notice(start, process, start - millis{10}, limit_of(5));
    conditions.on_notice(start + millis{1}, process, start - millis{10}, limit_of(2));
    CHECK(conditions.rate_limit(process) == request_rate{2});
    conditions.on_notice(start + millis{2}, process, start - millis{10}, limit_of(5));
    CHECK(conditions.rate_limit(process) == request_rate{2});
    conditions.on_notice(start + millis{20}, process, start + millis{10}, limit_of(5));
    CHECK(conditions.rate_limit(process) == request_rate{5});
}

TEST_CASE("server conditions: a limit that cannot be read neither sets nor ends one")
{
    server_conditions conditions;
    const server_notice unreadable{.rate_limit_unreadable = true, .unreadable = "Limit: many"};
    CHECK_FALSE(conditions.on_notice(start, process, start, unreadable).shared);
    conditions.on_notice(start, process, start, limit_of(2));
    CHECK_FALSE(
        conditions.on_notice(start + seconds{1}, process, start + millis{900}, unreadable).shared);
    CHECK(conditions.rate_limit(process) == request_rate{2});
}

TEST_CASE("server conditions: an answer that may be another process's ends no limit")
{
    server_conditions conditions;
    conditions.on_notice(start, process, start, limit_of(2));
    CHECK_FALSE(conditions.on_notice(start + seconds{1}, process, {}, {}).shared);
    CHECK(conditions.rate_limit(process) == request_rate{2});
}

TEST_CASE("server conditions: a new process of the server has said nothing")
{
    server_conditions conditions;
    conditions.on_notice(start, process, start, limit_of(2));
    const backend_server next{.id = process.id, .start = server_start{2}};
    CHECK_FALSE(conditions.rate_limit(next));
    conditions.on_notice(start, next, start, limit_of(3));
    CHECK(conditions.rate_limit(next) == request_rate{3});
    // Of the former process nothing is taken any more.
    CHECK_FALSE(conditions.on_notice(start, process, start, limit_of(1)).shared);
    CHECK(conditions.rate_limit(next) == request_rate{3});
}

TEST_CASE("server conditions: hosts that tell each other what they found agree")
{
    server_conditions first;
    server_conditions second;
    first.on_notice(start, process, start, limit_of(2));
    const auto found = first.take_findings(start + millis{10});
    REQUIRE(found);
    CHECK_FALSE(first.take_findings(start + millis{20}));
    CHECK(second.on_report(start + millis{15}, *found));
    CHECK(second.rate_limit(process) == request_rate{2});
    CHECK_FALSE(second.take_findings(start + millis{20}));

    SUBCASE("a late joiner is told all")
    {
        server_conditions third;
        CHECK(third.on_report(start + seconds{9}, first.report_all(start + seconds{9})));
        CHECK(third.rate_limit(process) == request_rate{2});
    }
    SUBCASE("the end is told too")
    {
        second.on_notice(start + seconds{2}, process, start + seconds{1}, {});
        CHECK(first.on_report(start + seconds{2}, *second.take_findings(start + seconds{2})));
        CHECK_FALSE(first.rate_limit(process));
    }
    SUBCASE("news that is older than what is known is answered with the newer")
    {
        const auto old = first.report_all(start);
        first.on_notice(start + seconds{2}, process, start + seconds{1}, {});
        REQUIRE(first.take_findings(start + seconds{2}));
        auto late = old;
        late.servers.front().age = 3'000'000;
        CHECK_FALSE(first.on_report(start + seconds{3}, late));
        CHECK(first.take_findings(start + seconds{3}));
    }
    SUBCASE("of two answers at the same time the lower limit holds on both")
    {
        first.on_notice(start + seconds{1}, process, start + millis{900}, limit_of(4));
        second.on_notice(start + seconds{1}, process, start + millis{900}, limit_of(3));
        const auto from_first = *first.take_findings(start + millis{1050});
        const auto from_second = *second.take_findings(start + millis{1050});
        first.on_report(start + millis{1051}, from_second);
        second.on_report(start + millis{1051}, from_first);
        CHECK(first.rate_limit(process) == request_rate{3});
        CHECK(second.rate_limit(process) == request_rate{3});
    }
}

TEST_CASE("server conditions: what is over is forgotten, and there is room for so many")
{
    server_conditions conditions{{.memory = seconds{60}, .max_processes = 2}};
    conditions.on_notice(start, process, start, limit_of(2));
    const backend_servers listed{{process.id, process}};
    conditions.forget_old(start + seconds{1000}, listed);
    CHECK(conditions.rate_limit(process) == request_rate{2});
    conditions.forget_old(start + seconds{1000}, {});
    conditions.forget_old(start + seconds{1061}, {});
    CHECK(conditions.size() == 0);
    for (const auto* id : {"a", "b", "c"}) {
        conditions.on_notice(start, {.id = server_id{id}}, start, limit_of(1));
    }
    CHECK(conditions.size() == 2);
}

TEST_CASE(
    "server conditions: a process that leaves is known to all hosts, its next start is not bound")
{
    server_conditions first;
    server_conditions second;
    CHECK(first.on_notice(start, process, {}, {.leaving = true}).shared);
    CHECK(first.leaving(process));
    CHECK_FALSE(first.on_notice(start, process, start, {.leaving = true}).shared);
    const auto found = first.take_findings(start);
    REQUIRE(found);
    CHECK(second.on_report(start, *found));
    CHECK(second.leaving(process));
    // An answer that was given before does not take it back.
    first.on_notice(start + seconds{1}, process, start - seconds{1}, {});
    CHECK(first.leaving(process));
    CHECK_FALSE(first.leaving({.id = process.id, .start = server_start{2}}));
    first.forget_old(start + seconds{900}, {{process.id, process}});
    CHECK(first.leaving(process));
}

TEST_CASE("server conditions: rest binds the host that was turned away, to the latest end")
{
    server_conditions conditions;
    CHECK(conditions.on_notice(start, process, start, {.rest = seconds{3}}).rest_began);
    CHECK_FALSE(conditions.take_findings(start));
    CHECK(conditions.rest_left(start + seconds{1}, process) == seconds{2});
    const auto shorter =
        conditions.on_notice(start + seconds{1}, process, start, {.rest = millis{500}});
    CHECK_FALSE(shorter.rest_began);
    CHECK(conditions.rest_left(start + seconds{1}, process) == seconds{2});
    conditions.on_notice(start + seconds{2}, process, start, {.rest = seconds{3}});
    CHECK(conditions.rest_left(start + seconds{4}, process) == seconds{1});
    CHECK(conditions.resting(start + seconds{4}) == std::vector{process.id});
    CHECK(conditions.rest_left(start + seconds{5}, process) == duration{0});
    CHECK(conditions.resting(start + seconds{5}).empty());
    const backend_server next{.id = process.id, .start = server_start{2}};
    CHECK(conditions.rest_left(start + seconds{4}, next) == duration{0});
    conditions.forget_old(start + seconds{4}, {{process.id, process}});
    CHECK(conditions.size() == 1);
    conditions.forget_old(start + seconds{63}, {{process.id, process}});
    CHECK(conditions.size() == 0);
}

TEST_CASE(
    "server conditions: hosts that know the same have one digest, and one is asked for the rest")
{
    server_conditions first;
    server_conditions second;
    CHECK(first.digest() == second.digest());
    first.on_notice(start, process, start, limit_of(2));
    CHECK(first.digest() != second.digest());
    CHECK(second.on_digest(start, first.digest()));
    // Of many hosts that differ only one is asked at a time.
    CHECK_FALSE(second.on_digest(start + millis{10}, first.digest()));
    second.on_report(start + millis{11}, first.report_all(start));
    CHECK(first.digest() == second.digest());
    CHECK_FALSE(second.on_digest(start + seconds{1}, first.digest()));
    second.on_notice(start + seconds{2}, process, start + seconds{1}, {});
    CHECK(second.digest() == server_conditions{}.digest());
}
