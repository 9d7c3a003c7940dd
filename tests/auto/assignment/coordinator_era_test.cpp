#include "coordinator_fixture.hpp"

#include <doctest/doctest.h>

using namespace quincewing;
using namespace quincewing::testing;

namespace {

// After its last read a coordinator acts for 2.5 s, and its last call is under way for 0.8 s more.
constexpr millis earlier_calls{3300};
// Then the longest grant, on a clock that may run slow.
constexpr millis earlier_grants{3300 + 10000 + 210};

/// A coordinator whose keys are held, at a store of the first era.
coordinator_fixture make_running(coordinator_options options = {})
{
    coordinator_fixture f{"h1", std::move(options)};
    f.era = store_era{1};
    f.add_server("s1");
    f.add_server("s2");
    f.run(seconds{6});
    REQUIRE(f.all_held());
    f.grants.clear();
    f.releases.clear();
    return f;
}

/// Time from the return of an older store to the first release of a draining server's keys.
duration time_to_release(const coordinator_options& options)
{
    auto f = make_running(options);
    auto older = f.stored;
    older->revision -= 1;
    f.bring_store_back(older, f.end - 1);
    const auto returned = f.now;
    f.servers[server_id{"s1"}].draining = true;
    f.core.set_servers(f.now, f.servers, {keyed_service});
    while (f.releases.empty() && f.now - returned < seconds{30}) {
        f.run(millis{50});
    }
    return f.now - returned;
}

} // namespace

// failure: fences of the lost seconds were given out again.
TEST_CASE("coordinator: fences of an era are above those of the era before")
{
    auto f = make_running();
    const auto fence = f.stored->last_fence;
    f.bring_store_back({}, 0);
    f.run(seconds{20});
    CHECK(f.core.coordinating());
    CHECK(f.stored->era == store_era{2});
    CHECK(f.stored->last_fence > fence + 1'000'000'000);
}

TEST_CASE("coordinator: keys of living owners are held while the term is resumed in a new era")
{
    auto f = make_running();
    auto older = f.stored;
    older->revision -= 1;
    f.bring_store_back(older, f.end - 1);
    const auto returned = f.now;
    while (f.now - returned < seconds{20}) {
        f.run(millis{250});
        CHECK(f.all_held());
    }
    CHECK(f.core.coordinating());
    CHECK(f.releases.empty());
    CHECK_FALSE(f.stored->unsettled);
}

// failure: a host granted keys by the older table while grants that it lacks were in force.
TEST_CASE("coordinator: a host without grants of its own waits for those of earlier eras")
{
    auto running = make_running();
    coordinator_fixture f{"h2"};
    f.era = running.era;
    f.servers = running.servers;
    f.core.set_servers(f.now, f.servers, {keyed_service});
    f.core.on_store_era(f.now, f.era);
    f.bring_store_back(running.stored, running.end);
    const auto returned = f.now;
    while (f.grants.empty() && f.now - returned < seconds{60}) {
        f.run(millis{50});
    }
    CHECK(f.now - returned >= earlier_grants);
    f.run(seconds{1});
    CHECK(f.all_held());
}

TEST_CASE("coordinator: the next coordinator of an unsettled table waits too")
{
    auto running = make_running();
    auto unsettled = *running.stored;
    unsettled.unsettled = true;
    unsettled.coordinator = {};
    coordinator_fixture f{"h2"};
    f.era = running.era;
    f.servers = running.servers;
    f.core.set_servers(f.now, f.servers, {keyed_service});
    f.stored = unsettled;
    f.end = running.end;
    const auto started = f.now;
    while (f.grants.empty() && f.now - started < seconds{60}) {
        f.run(millis{50});
    }
    CHECK(f.now - started >= earlier_grants);
}

TEST_CASE("coordinator: keys move only when no coordinator of an earlier era acts any more")
{
    CHECK(time_to_release({}) >= earlier_calls);
    CHECK(time_to_release({}) < seconds{6});
}

TEST_CASE("coordinator mutation: an owner that is proven too early")
{
    CHECK(time_to_release({.prove_after_earlier_eras = false}) < earlier_calls);
}

TEST_CASE("coordinator: a term whose last read is too old is not resumed")
{
    auto f = make_running();
    f.store_unreachable = true;
    f.run(seconds{9});
    f.store_unreachable = false;
    f.bring_store_back(f.stored, f.end);
    f.run(millis{900});
    CHECK_FALSE(f.core.coordinating());
    f.run(seconds{20});
    CHECK(f.all_held());
}

TEST_CASE("coordinator: a table that an earlier era's append left on top resumes the term")
{
    auto f = make_running();
    f.bring_store_back(f.stored, f.end);
    f.run(seconds{20});
    const auto term = f.stored->term;
    auto late = *f.stored;
    late.era = store_era{1};
    late.coordinator = host_id{"h9"};
    f.stored = late;
    ++f.end;
    f.run(seconds{2});
    CHECK(f.core.coordinating());
    CHECK(f.stored->term == term + 1);
    CHECK(f.stored->unsettled);
    CHECK(f.all_held());
}

// failure: the answer to an append of a lost term was taken for that to the next one.
TEST_CASE("coordinator: the answer to an earlier append is not taken for that to the next")
{
    auto f = make_running();
    f.core.stop(f.now);
    const auto append = f.take_append();
    REQUIRE(append);
    f.core.on_append(f.now, append_number{append->number.value - 1}, append_outcome::appended);
    CHECK_FALSE(f.core.stopped());
    f.core.on_append(f.now, append->number, append_outcome::appended);
    CHECK(f.core.stopped());
}
