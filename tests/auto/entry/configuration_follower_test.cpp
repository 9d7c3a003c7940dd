#include "../../../src/plugins/entry/configuration_follower.hpp"

#include "follower_fixture.hpp"

#include <doctest/doctest.h>

using namespace quincewing;
using namespace quincewing::testing;

namespace {

constexpr seconds later{5};

/// A host that has version 7, read at offset 90, when the store comes back older.
struct configured_host
{
    explicit configured_host(bool watching)
    {
        follower.set_watching(watching);
        follower.tick(monotonic_now());
        f.take_call().done(page_of({stored("config", "7", 90)}, 100));
        f.take_calls();
        follower.on_store_era(monotonic_now());
    }

    [[nodiscard]] config_version version() const { return f.view.routes().current().version; }
    [[nodiscard]] instant confirmed() const { return f.view.currency().in_force_at(); }

    follower_fixture f;
    int unknown{};
    configuration_follower follower{
        f.context, {.on_configuration = [] {}, .on_unknown = [this] { ++unknown; }}};
};

} // namespace

// Guards against a host that waited behind an offset of the earlier era for a version that was
// stored below it.
TEST_CASE("configuration follower: after a store that came back older, a later version is found")
{
    configured_host host{true};
    host.follower.tick(monotonic_now() + later);
    const auto full = host.f.take_call();
    CHECK(full.name == "newest");
    full.done(page_of({stored("config", "5", 40)}, 50));
    CHECK(host.version() == config_version{7});
    host.follower.tick(monotonic_now() + later);
    const auto next = host.f.take_call();
    CHECK(next.name == "read");
    CHECK(next.from == log_offset{50});
    next.done(page_of({stored("config", "8", 50)}, 51));
    CHECK(host.version() == config_version{8});
    CHECK(host.follower.offset() == log_offset{50});
}

// A copy that lacks the applied version may lack a later one too.
TEST_CASE("configuration follower: a read of an older copy confirms nothing")
{
    configured_host host{true};
    const auto before = host.confirmed();
    CHECK(host.follower.offset() == log_offset{0});
    host.follower.tick(monotonic_now() + later);
    host.f.take_call().done(page_of({stored("config", "5", 40)}, 50));
    CHECK(host.confirmed() == before);
    host.follower.tick(monotonic_now() + later);
    host.f.take_call().done(page_of({}, 50));
    CHECK(host.confirmed() == before);
    // It is written again.
    host.follower.tick(monotonic_now() + later);
    host.f.take_call().done(page_of({stored("config", "7", 50)}, 51));
    CHECK(host.confirmed() > before);
    CHECK(host.follower.offset() == log_offset{50});
}

TEST_CASE("configuration follower: hosts that do not watch read seldom while a version is missing")
{
    configured_host host{false};
    host.follower.tick(monotonic_now() + later);
    host.f.take_call().done(page_of({stored("config", "5", 40)}, 50));
    const auto read_at = monotonic_now();
    host.follower.tick(read_at + millis{1200});
    CHECK(host.f.take_calls().empty());
    host.follower.tick(read_at + millis{1500});
    CHECK(host.f.take_calls().size() == 1);
}

// Guards against a coordinating host that read the store twenty times a second while the store
// lacked the version that other hosts had.
TEST_CASE("configuration follower: a host that is behind the others does not read without a pause")
{
    configured_host host{true};
    host.follower.on_told(config_version{9}, log_offset{0}, monotonic_now());
    host.follower.tick(monotonic_now() + later);
    host.f.take_call().done(page_of({stored("config", "5", 40)}, 50));
    CHECK(host.unknown > 0);
    const auto read_at = monotonic_now();
    host.follower.tick(read_at + millis{300});
    CHECK(host.f.take_calls().empty());
    host.follower.tick(read_at + millis{400});
    CHECK(host.f.take_calls().size() == 1);
}

TEST_CASE("configuration follower: a host that is told where the version is stored knows it there")
{
    configured_host host{false};
    host.follower.on_told(config_version{7}, log_offset{0}, monotonic_now());
    CHECK(host.follower.offset() == log_offset{0});
    host.follower.on_told(config_version{7}, log_offset{52}, monotonic_now());
    CHECK(host.follower.offset() == log_offset{52});
}
