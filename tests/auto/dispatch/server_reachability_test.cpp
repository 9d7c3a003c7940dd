#include "quincewing/dispatch/server_reachability.hpp"

#include "test_options.hpp"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <doctest/doctest.h>
#include <string>

using namespace quincewing;
using namespace quincewing::testing;

namespace {

server_id id_of(int number)
{
    return server_id{"s" + std::to_string(number)};
}

server_reachability with_servers(int count)
{
    std::set<server_id> ids;
    for (int i = 0; i < count; ++i) {
        ids.insert(id_of(i));
    }
    server_reachability out;
    out.set_servers(ids);
    return out;
}

} // namespace

TEST_CASE("reachability: a server that can't be connected to is left alone, and the others are not")
{
    const instant now{seconds{10}};
    auto it = with_servers(5);
    CHECK(it.on_connect_failed(now, id_of(1), now));
    CHECK(!it.on_connect_failed(now, id_of(1), now));
    CHECK(!it.reachable(id_of(1)));
    CHECK(it.reachable(id_of(2)));
    CHECK(!it.cut_off());
    it.on_answer(now);
    CHECK(!it.reachable(id_of(1)));
    it.on_connected(now, id_of(1));
    CHECK(it.reachable(id_of(1)));
}

TEST_CASE("reachability: a host that fails at several servers in a row takes itself to be cut off")
{
    instant now{seconds{10}};
    auto it = with_servers(31);
    it.on_broken(id_of(1), now);
    it.on_connect_failed(now, id_of(2), now);
    now += millis{1};
    it.on_answer(now);
    for (int i = 3; i < 8; ++i) {
        it.on_connect_failed(now, id_of(i), now);
        CHECK(!it.cut_off());
    }
    // One that was out of reach before the last answer says nothing new.
    it.on_connect_failed(now, id_of(2), now);
    CHECK(!it.cut_off());
    it.on_broken(id_of(8), now);
    CHECK(it.cut_off());
    CHECK(it.unreachable().size() == 31);
    it.on_connected(now, id_of(3));
    CHECK(!it.cut_off());
    CHECK(it.unreachable().empty());
}

TEST_CASE(
    "reachability: while connections are accepted and break, an answer to a trial ends the cut")
{
    instant now{seconds{10}};
    auto it = with_servers(31);
    for (int i = 0; i < 6; ++i) {
        it.on_connected(now, id_of(i));
        it.on_broken(id_of(i), now);
    }
    CHECK(it.cut_off());
    CHECK(!it.take_trial(now, true));
    it.on_connected(now, id_of(0));
    CHECK(it.cut_off());
    CHECK(it.take_trial(now, true));
    CHECK(!it.take_trial(now + millis{400}, true));
    CHECK(!it.take_trial(now + millis{600}, false));
    CHECK(it.take_trial(now + seconds{4}, false));
    it.on_answer(now);
    CHECK(!it.cut_off());
}

TEST_CASE("reachability: a host that seems to be cut off tries servers that it has not failed at")
{
    const instant now{seconds{10}};
    auto it = with_servers(31);
    it.on_answer(now);
    it.on_broken(id_of(1), now);
    CHECK(!it.next_probe(now));
    it.on_connect_failed(now, id_of(2), now);
    const auto checked = it.next_probe(now);
    REQUIRE(checked);
    CHECK(*checked != id_of(1));
    CHECK(*checked != id_of(2));
    it.on_connected(now, *checked);
    it.on_answer(now);
    CHECK(!it.next_probe(now));
}

TEST_CASE("reachability: with fewer servers all of them must fail")
{
    const instant now{seconds{10}};
    auto it = with_servers(2);
    it.on_connect_failed(now, id_of(0), now);
    CHECK(!it.cut_off());
    it.on_connect_failed(now, id_of(1), now);
    CHECK(it.cut_off());
}

TEST_CASE("reachability: servers are tried again, less often with each failure")
{
    auto it = with_servers(5);
    auto now = instant{seconds{10}};
    it.on_connect_failed(now, id_of(1), now);
    int probes = 0;
    for (int i = 0; i < 200; ++i) {
        now += millis{50};
        it.on_connected(now, id_of(2));
        if (const auto due = it.next_probe(now)) {
            CHECK(*due == id_of(1));
            ++probes;
            it.on_connect_failed(now, *due, now);
        }
    }
    // In ten seconds: after 0.25, 0.5 and 1 s, then each two seconds.
    CHECK(probes >= 5);
    CHECK(probes <= 8);
}

// Guards against a host that takes itself to be cut off and not by turns, while open connections
// live on and new ones are refused.
TEST_CASE("reachability: an answer on an open connection does not end a cut of new ones")
{
    instant now{seconds{10}};
    auto it = with_servers(31);
    for (int i = 0; i < 4; ++i) {
        now += millis{1};
        it.on_connect_failed(now, id_of(i), now);
        it.on_answer(now);
    }
    for (int i = 0; i < 2; ++i) {
        CHECK(!it.cut_off());
        const auto checked = it.next_probe(now);
        REQUIRE(checked);
        it.on_connect_failed(now, *checked, now);
        it.on_answer(now);
    }
    CHECK(it.cut_off());
    it.on_answer(now);
    CHECK(it.cut_off());
    it.on_connected(now, id_of(20));
    CHECK(!it.cut_off());
}

// Guards against a host that takes itself to be cut off since many servers crashed.
TEST_CASE("reachability: servers that crash do not cut a host off that reaches others")
{
    instant now{seconds{10}};
    auto it = with_servers(31);
    it.on_answer(now);
    for (int i = 0; i < 12; ++i) {
        it.on_connect_failed(now, id_of(i), now);
    }
    CHECK(!it.cut_off());
    const auto checked = it.next_probe(now);
    REQUIRE(checked);
    it.on_connected(now, *checked);
    now += millis{1};
    for (int i = 12; i < 17; ++i) {
        it.on_connect_failed(now, id_of(i), now);
    }
    CHECK(!it.cut_off());
    CHECK(it.reachable(id_of(30)));
}

TEST_CASE("reachability: an attempt that began before the last success says nothing of a cut")
{
    const instant now{seconds{10}};
    auto it = with_servers(4);
    it.on_connected(now, id_of(0));
    it.on_answer(now);
    for (int i = 0; i < 4; ++i) {
        it.on_broken(id_of(i), now - millis{1});
        it.on_connect_failed(now, id_of(i), now - millis{1});
    }
    CHECK(!it.cut_off());
    for (int i = 0; i < 4; ++i) {
        it.on_connect_failed(now, id_of(i), now);
    }
    CHECK(it.cut_off());
}

TEST_CASE("reachability: a server that is down does not hide a cut from the few others")
{
    const instant now{seconds{10}};
    auto it = with_servers(4);
    it.on_connect_failed(now, id_of(0), now);
    it.on_connected(now, id_of(1));
    it.on_connect_failed(now, id_of(1), now);
    it.on_connect_failed(now, id_of(2), now);
    CHECK(!it.cut_off());
    it.on_connect_failed(now, id_of(3), now);
    CHECK(it.cut_off());
}

TEST_CASE("reachability: a host that has reached nobody lately checks after its first failure")
{
    instant now{seconds{10}};
    auto it = with_servers(31);
    it.on_answer(now);
    now += seconds{2};
    it.on_connect_failed(now, id_of(1), now);
    const auto first = it.next_probe(now);
    const auto second = it.next_probe(now);
    REQUIRE(first);
    REQUIRE(second);
    CHECK(*first != *second);
}

// A cut that nobody tries to find the end of would last for ever.
TEST_CASE("reachability: a host that is cut off always has a server to try")
{
    const auto runs = schedules_or(500);
    for (std::uint64_t seed = options().seed; seed < options().seed + runs; ++seed) {
        boost::random::mt19937_64 random{seed};
        const auto any = [&](int first, int last) {
            return boost::random::uniform_int_distribution<int>{first, last}(random);
        };
        auto it = with_servers(any(1, 8));
        auto now = instant{seconds{10}};
        // A request's own attempt counts as well.
        instant last_try = now;
        for (int i = 0; i < 400; ++i) {
            now += millis{50};
            switch (any(0, 9)) {
            case 0:
                it.on_connect_failed(now, id_of(any(0, 8)), now);
                last_try = now;
                break;
            case 1:
                it.on_broken(id_of(any(0, 8)), now);
                break;
            case 2:
                any(0, 3) == 0 ? it.on_answer(now) : it.on_broken(id_of(any(0, 8)), now);
                break;
            case 3:
                it.on_connected(now, id_of(any(0, 8)));
                break;
            default:
                break;
            }
            if (const auto due = it.next_probe(now)) {
                last_try = now;
                it.on_connect_failed(now, *due, now);
            }
            last_try = it.take_trial(now, false) || !it.cut_off() ? now : last_try;
            CHECK_MESSAGE(now - last_try <= seconds{3}, "seed ", seed);
        }
    }
}
