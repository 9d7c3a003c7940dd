#include "../../../src/plugins/entry/store_follower.hpp"

#include "follower_fixture.hpp"

#include <doctest/doctest.h>

using namespace quincewing;
using namespace quincewing::testing;

// Guards against a host that read on from an offset of the earlier era, and passed over what the
// store gave out again below it.
TEST_CASE("store follower: after a store that came back older, the next read is a full one")
{
    follower_fixture f;
    store_follower follower{f.context, {.on_servers = [] {}}};
    follower.tick(monotonic_now());
    f.take_call().done(page_of({stored("a", "10.0.0.9:80", 90)}, 100));
    CHECK(f.view.servers().size() == 1);
    follower.on_store_era(monotonic_now());
    follower.tick(monotonic_now() + seconds{1});
    const auto full = f.take_call();
    CHECK(full.name == "newest");
    full.done(page_of({stored("a", "10.0.0.9:80", 40), stored("b", "10.0.0.9:81", 41)}, 50));
    CHECK(f.view.servers().size() == 2);
    follower.tick(monotonic_now() + seconds{1});
    const auto next = f.take_call();
    CHECK(next.name == "read");
    CHECK(next.from == log_offset{50});
}

// All hosts that hear from the coordinating one would read everything at once.
TEST_CASE("store follower: a list that another host confirms in the era needs no full read")
{
    follower_fixture f;
    store_follower follower{f.context, {.on_servers = [] {}}};
    follower.tick(monotonic_now());
    f.take_call().done(page_of({stored("a", "10.0.0.9:80", 90)}, 100));
    follower.on_store_era(monotonic_now());
    // The other host has not read in this era itself.
    follower.confirm_servers(log_offset{0});
    follower.confirm_servers(log_offset{50});
    follower.tick(monotonic_now() + seconds{1});
    const auto next = f.take_call();
    CHECK(next.name == "read");
    CHECK(next.from == log_offset{50});
}
