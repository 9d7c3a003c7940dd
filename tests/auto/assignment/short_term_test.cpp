#include "coordinator_fixture.hpp"

#include <doctest/doctest.h>

using namespace quincewing;
using namespace quincewing::testing;

// failure: a term that was given up as soon as it was taken made its successor forget the host that
// coordinated before, whose last grants end later.
TEST_CASE("short term: who takes a term after one that was given up at once waits in full")
{
    coordinator_fixture first{"h1"};
    first.add_server("s1");
    first.run(seconds{6});
    REQUIRE(first.all_held());

    coordinator_fixture second{"h2"};
    second.add_server("s1");
    second.stored = first.stored;
    second.end = first.end;
    while (!second.core.coordinating()) {
        second.run(millis{50});
    }
    const auto taken_at = second.now;
    second.core.stop(second.now);
    second.run(millis{100});
    REQUIRE(second.stored->coordinator.value.empty());

    coordinator_fixture third{"h3"};
    third.now = second.now;
    third.add_server("s2");
    third.stored = second.stored;
    third.end = second.end;
    third.release_outcome = [](const auto&) { return call_outcome::unknown; };
    while (third.grants.empty() && third.now - taken_at < seconds{60}) {
        third.run(millis{50});
    }
    // The first host may act for 2.5 s after its last read, a call takes 0.8 s, a grant lasts 10 s
    // on a clock that may run 2% slow.
    CHECK(third.now - taken_at >= millis{2500 + 800 + 10200});
}
