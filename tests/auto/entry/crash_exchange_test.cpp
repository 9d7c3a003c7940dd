#include "../../../src/plugins/entry/crash_exchange.hpp"

#include "follower_fixture.hpp"

#include <doctest/doctest.h>

using namespace quincewing;
using namespace quincewing::testing;

namespace {

constexpr std::uint64_t crashing = 7;

struct coordinating_host
{
    coordinating_host()
    {
        const auto now = monotonic_now();
        for (const std::uint64_t process : {1, 2, 3}) {
            crashes.guard().on_crash(now, crashing, server_process{process}, duration{0}, false);
        }
        crashes.tick(now, true);
        f.take_call().done(page_of({}, 0));
        crashes.tick(now, true);
        const auto write = f.take_call();
        CHECK(write.name == "append");
        write.appended({.status = store_status::ok});
        crashes.tick(now, true);
        CHECK(f.take_calls().empty());
    }

    follower_fixture f;
    peers_task peers{f.loop, {.self = f.context.self, .address = f.settings.peers}, {}};
    crash_exchange crashes{f.context, peers, [](const host_id&) { return false; }};
};

} // namespace

// Guards against quarantines that were lost with a restart of all hosts after the store had come
// back from a copy that lacked them.
TEST_CASE("crash exchange: a store that came back older gets the quarantines that it lacks")
{
    coordinating_host host;
    const auto now = monotonic_now();
    host.crashes.on_store_era(now);
    host.crashes.tick(now, true);
    const auto read = host.f.take_call();
    CHECK(read.name == "newest");
    host.crashes.tick(now, true);
    CHECK(host.f.take_calls().empty());
    read.done(page_of({}, 0));
    host.crashes.tick(now, true);
    const auto write = host.f.take_call();
    CHECK(write.name == "append");
    CHECK(write.record.key == std::to_string(crashing));
    CHECK(write.record.value.has_value());
}

TEST_CASE("crash exchange: a host that does not coordinate leaves an older store alone")
{
    coordinating_host host;
    const auto now = monotonic_now();
    host.crashes.on_store_era(now);
    host.crashes.tick(now, false);
    CHECK(host.f.take_calls().empty());
}
