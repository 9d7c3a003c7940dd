#include "../../../src/plugins/entry/host_announcer.hpp"

#include "follower_fixture.hpp"

#include <doctest/doctest.h>
#include <set>

using namespace quincewing;
using namespace quincewing::testing;

namespace {

/// A host that has announced itself and looked for others.
struct announced_host
{
    explicit announced_host(const std::string& address = "10.0.0.1:7100") : f(address)
    {
        announcer.tick(monotonic_now());
        announce(f.take_call());
        find(f.take_call());
        announcer.tick(monotonic_now() + seconds{5});
        CHECK(f.take_calls().empty());
    }

    void announce(const follower_fixture::store_call& call) const
    {
        REQUIRE(call.name == "append");
        CHECK(call.record.key == f.settings.peers);
        CHECK(call.record.value.has_value());
        call.appended({.status = store_status::ok});
    }
    static void find(const follower_fixture::store_call& call)
    {
        REQUIRE(call.name == "newest");
        call.done(page_of({}, 1));
    }
    /// Time from the store's return to the first call.
    duration delay()
    {
        const auto now = monotonic_now();
        announcer.on_store_era(now);
        for (duration after{0}; after < seconds{3}; after += millis{10}) {
            announcer.tick(now + after);
            if (!f.calls.empty()) {
                return after;
            }
        }
        return seconds{3};
    }

    follower_fixture f;
    peers_task peers{f.loop, {.self = f.context.self, .address = f.settings.peers}, {}};
    host_announcer announcer{f.context, peers};
};

} // namespace

// Guards against hosts that new ones could not find, as the store had lost their records.
TEST_CASE("announcer: after a store that came back older, the host's record is written again")
{
    announced_host host;
    CHECK(host.delay() <= seconds{1});
    host.announce(host.f.take_call());
    announced_host::find(host.f.take_call());
    host.announcer.tick(monotonic_now() + seconds{5});
    CHECK(host.f.take_calls().empty());
}

TEST_CASE("announcer: hosts do not all write at once to a store that came back older")
{
    std::set<duration> delays;
    for (int i = 0; i < 20; ++i) {
        announced_host host{"10.0.1." + std::to_string(i) + ":7100"};
        delays.insert(host.delay());
    }
    CHECK(*delays.rbegin() <= seconds{1});
    CHECK(*delays.rbegin() - *delays.begin() >= millis{500});
    CHECK(delays.size() >= 10);
}

TEST_CASE("announcer: hosts that are looked up while the store comes back are looked up again")
{
    follower_fixture f;
    peers_task peers{f.loop, {.self = f.context.self, .address = f.settings.peers}, {}};
    host_announcer announcer{f.context, peers};
    announcer.tick(monotonic_now());
    f.take_call().appended({.status = store_status::ok});
    const auto look_up = f.take_call();
    const auto now = monotonic_now();
    announcer.on_store_era(now);
    look_up.done(page_of({}, 1));
    announcer.tick(now + seconds{2});
    const auto again = f.take_call();
    CHECK(again.name == "append");
    again.appended({.status = store_status::ok});
    CHECK(f.take_call().name == "newest");
}

TEST_CASE("announcer: a host that stops does not write its record again")
{
    announced_host host;
    host.announcer.stop([] {});
    CHECK_FALSE(host.f.take_call().record.value.has_value());
    CHECK(host.delay() == seconds{3});
}
