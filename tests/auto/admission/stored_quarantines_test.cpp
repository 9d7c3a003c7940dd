#include "quincewing/admission/stored_quarantines.hpp"

#include <doctest/doctest.h>

using namespace quincewing;

namespace {

constexpr std::uint64_t crashing = 7;

instant at(duration it)
{
    return instant{it};
}

wall_time wall(long long s)
{
    return wall_time{seconds{1'000'000 + s}};
}

crash_guard guard_after_crashes()
{
    crash_guard out;
    for (const std::uint64_t process : {1, 2, 3}) {
        out.on_crash(at(seconds{100}), crashing, server_process{process}, duration{0}, false);
    }
    return out;
}

} // namespace

TEST_CASE("stored quarantines: one is written once, read after a restart and removed at its end")
{
    const auto guard = guard_after_crashes();
    stored_quarantines store;
    const auto written = store.next_change(at(seconds{101}), wall(0), guard);
    REQUIRE(written);
    CHECK(written->fingerprint == crashing);
    REQUIRE(written->value);
    // One change at a time.
    CHECK_FALSE(store.next_change(at(seconds{101}), wall(0), guard));
    store.on_changed(at(seconds{101}), true);
    CHECK_FALSE(store.next_change(at(seconds{102}), wall(1), guard));

    // The clock of the host that reads starts anywhere.
    crash_guard restarted;
    stored_quarantines after;
    CHECK(after.on_record(at(seconds{5000}), wall(200), crashing, *written->value, restarted));
    CHECK(restarted.status(at(seconds{5000}), crashing) == crash_status::quarantined);
    CHECK(restarted.quarantine_left(at(seconds{5000}), crashing) == seconds{600 - 201});
    CHECK_FALSE(after.next_change(at(seconds{5000}), wall(200), restarted));
    const auto removed = after.next_change(at(seconds{5400}), wall(600), restarted);
    REQUIRE(removed);
    CHECK(removed->fingerprint == crashing);
    CHECK_FALSE(removed->value);
}

TEST_CASE("stored quarantines: a change that failed is made again")
{
    const auto guard = guard_after_crashes();
    stored_quarantines store;
    CHECK(store.next_change(at(seconds{101}), wall(0), guard));
    store.on_changed(at(seconds{101}), false);
    CHECK_FALSE(store.next_change(at(seconds{101}), wall(0), guard));
    CHECK(store.next_change(at(seconds{103}), wall(2), guard));
}

TEST_CASE("stored quarantines: a record that cannot be read is told, and removed")
{
    crash_guard guard;
    stored_quarantines store;
    CHECK_FALSE(store.on_record(at(seconds{1}), wall(0), crashing, "no record", guard));
    const auto removed = store.next_change(at(seconds{2}), wall(0), guard);
    REQUIRE(removed);
    CHECK_FALSE(removed->value);
}

// The time of day may jump.
TEST_CASE("stored quarantines: a record from the future counts as new")
{
    const auto guard = guard_after_crashes();
    stored_quarantines store;
    const auto written = store.next_change(at(seconds{100}), wall(50), guard);
    REQUIRE(written);
    crash_guard restarted;
    stored_quarantines after;
    CHECK(after.on_record(at(seconds{1000}), wall(0), crashing, *written->value, restarted));
    CHECK(restarted.quarantine_left(at(seconds{1000}), crashing) == seconds{600});
}

// Guards against quarantines that were lost with a restart of all hosts after the store had come
// back from a copy that lacked them.
TEST_CASE("stored quarantines: one that the store has lost is written again")
{
    const auto guard = guard_after_crashes();
    stored_quarantines store;
    REQUIRE(store.next_change(at(seconds{101}), wall(0), guard));
    store.on_changed(at(seconds{101}), true);
    REQUIRE_FALSE(store.next_change(at(seconds{102}), wall(1), guard));
    store.begin_read();
    const auto again = store.next_change(at(seconds{103}), wall(2), guard);
    REQUIRE(again);
    CHECK(again->fingerprint == crashing);
    CHECK(again->value);
}

// Guards against an answer that was taken for the one to a later change.
TEST_CASE("stored quarantines: a read leaves a change that is being made")
{
    const auto guard = guard_after_crashes();
    stored_quarantines store;
    REQUIRE(store.next_change(at(seconds{101}), wall(0), guard));
    store.begin_read();
    CHECK_FALSE(store.next_change(at(seconds{101}), wall(0), guard));
    store.on_changed(at(seconds{102}), true);
    CHECK_FALSE(store.next_change(at(seconds{102}), wall(1), guard));
}
