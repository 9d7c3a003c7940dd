#include "coordinator_fixture.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <optional>
#include <variant>

using namespace quincewing;
using namespace quincewing::testing;

TEST_CASE("coordinator: takes the term and grants all keys once")
{
    coordinator_fixture f;
    f.add_server("s1");
    f.add_server("s2");
    f.run(seconds{6});
    CHECK(f.core.coordinating());
    CHECK(f.core.table().ranges.size() == 2);
    CHECK(f.all_held());
}

TEST_CASE("coordinator: no takeover from a coordinator whose reads are recent")
{
    coordinator_fixture f{"h2"};
    const coordinator_options options;
    f.stored = assignment_table{.term = 1, .revision = 1, .coordinator = host_id{"h1"}};
    f.end = 1;
    f.run(millis{100});
    // Heartbeats every 250 ms, each with a read as old as it gets before the next one.
    for (int i = 0; i < 40; ++i) {
        f.core.on_coordinator_heartbeat(f.now, *f.stored, options.read_interval + millis{100});
        f.run(millis{250});
    }
    CHECK_FALSE(f.core.coordinating());
    CHECK(f.stored->term == 1);
}

TEST_CASE("coordinator: another host takes over from a silent coordinator")
{
    coordinator_fixture f{"h2"};
    f.stored = assignment_table{.term = 1, .revision = 1, .coordinator = host_id{"h1"}};
    f.end = 1;
    f.run(seconds{3});
    CHECK(f.core.coordinating());
    CHECK(f.stored->term == 2);
}

TEST_CASE("coordinator: keys are reassigned at once when another server has the owner's address")
{
    coordinator_fixture f;
    f.add_server("s1", 1, "10.0.0.1:80");
    f.add_server("s2", 1, "10.0.0.2:80");
    f.run(seconds{6});
    REQUIRE(f.all_held());
    // The process at the address belongs to a service without keys.
    f.grant_outcome = [](const auto& call) {
        return call.holder.id.value == "s1" ? call_outcome::not_sent : call_outcome::accepted;
    };
    f.release_outcome = [](const auto&) { return call_outcome::rejected; };
    f.servers[server_id{"k1"}] = {.id = server_id{"k1"},
                                  .start = server_start{1},
                                  .address = "10.0.0.1:80",
                                  .service = service_id{"other"}};
    f.remove_server("s1");
    f.run(millis{700});
    CHECK(f.all_held());
}

TEST_CASE("coordinator: a new coordinator does not repeat releases known to be complete")
{
    coordinator_fixture f{"h2"};
    f.add_server("s2");
    f.stored = assignment_table{
        .term = 1,
        .revision = 5,
        .coordinator = host_id{"h1"},
        .last_fence = 7,
        .ranges = {{.service = keyed_service,
                    .keys = {0, 65535},
                    .owner = {.id = server_id{"s2"}, .start = server_start{1}, .address = "s2"},
                    .fence = 7,
                    .previous_owner = {
                        .id = server_id{"s1"}, .start = server_start{1}, .address = "s1"}}}};
    f.end = 5;
    f.release_outcome = [](const auto&) { return call_outcome::not_sent; };
    f.core.on_coordinator_heartbeat(f.now, *f.stored, millis{100});
    f.core.note_released(f.stored->ranges[0]);
    f.run(seconds{3});
    CHECK(f.core.coordinating());
    CHECK(f.all_held());
    CHECK(f.releases.empty());
}

TEST_CASE("coordinator: keys of an unreachable server are not reassigned before its grant expires")
{
    coordinator_fixture f;
    f.add_server("s1");
    f.add_server("s2");
    f.run(seconds{6});
    REQUIRE(f.all_held());
    const auto last = f.now;
    f.grant_outcome = [](const auto& call) {
        return call.holder.id.value == "s1" ? call_outcome::not_sent : call_outcome::accepted;
    };
    f.release_outcome = [](const auto&) { return call_outcome::unknown; };
    f.remove_server("s1");
    f.grants.clear();
    const coordinator_options options;
    while (f.now < last + options.grant_validity - options.renew_interval) {
        f.run(millis{50});
        for (const auto& grant : f.grants) {
            const bool reassigned = grant.fence > 2;
            CHECK_FALSE(reassigned);
        }
    }
    f.run(options.grant_validity + seconds{2});
    CHECK(f.all_held());
}

namespace {

/// Time from taking over the term of a silent coordinator to the first grant of keys whose owner
/// cannot be reached.
duration time_until_reassigned(const coordinator_options& options)
{
    coordinator_fixture f{"h2", options};
    f.add_server("s2");
    const key_holder lost{.id = server_id{"s1"}, .start = server_start{1}, .address = "s1"};
    f.stored = assignment_table{
        .term = 1,
        .revision = 5,
        .coordinator = host_id{"h1"},
        .last_fence = 7,
        .ranges = {{.service = keyed_service, .keys = {0, 65535}, .owner = lost, .fence = 7}}};
    f.end = 5;
    f.release_outcome = [](const auto&) { return call_outcome::not_sent; };
    while (!f.core.coordinating()) {
        f.run(millis{50});
    }
    const auto term = f.now;
    while (f.grants.empty()) {
        f.run(millis{50});
    }
    return f.now - term;
}

} // namespace

TEST_CASE(
    "coordinator: keys of an unreachable owner wait for the last grant of the old coordinator")
{
    const coordinator_options options;
    // The old coordinator may have confirmed its term just before the new one began, act for
    // read_validity after that, and then give a grant of the longest validity on a slow clock.
    const auto least = options.read_validity + options.max_grant_validity * 102 / 100;
    CHECK(time_until_reassigned(options) >= least);
}

TEST_CASE("coordinator mutation: without the wait after a new term keys are granted too early")
{
    const coordinator_options all_rules;
    auto options = all_rules;
    options.wait_after_new_term = false;
    const auto least = all_rules.read_validity + all_rules.max_grant_validity * 102 / 100;
    CHECK(time_until_reassigned(options) < least);
}

TEST_CASE("coordinator: no calls after a suspension until a new read")
{
    coordinator_fixture f;
    f.add_server("s1");
    f.run(seconds{6});
    REQUIRE(f.all_held());
    f.grants.clear();
    f.now += seconds{5};
    f.core.tick(f.now);
    for (const auto& effect : f.core.take_effects()) {
        CHECK_FALSE(std::holds_alternative<grant_keys>(effect));
        CHECK_FALSE(std::holds_alternative<release_keys>(effect));
    }
}

TEST_CASE("coordinator: adjacent ranges of one server are merged")
{
    coordinator_fixture f;
    f.add_server("s1");
    f.add_server("s2");
    f.run(seconds{6});
    REQUIRE(f.core.table().ranges.size() == 2);
    f.remove_server("s2");
    f.run(seconds{2});
    CHECK(f.core.table().ranges.size() > 1);
    f.add_server("s3");
    f.run(seconds{3});
    f.remove_server("s3");
    f.run(seconds{3});
    f.add_server("s4");
    f.run(seconds{3});
    CHECK(f.all_held());
    CHECK(f.core.table().ranges.size() <= 4);
}

TEST_CASE("coordinator: a server that was unreachable is granted its keys under a new fence")
{
    coordinator_fixture f;
    f.add_server("s1");
    f.run(seconds{6});
    REQUIRE(f.all_held());
    const auto before = f.grants.back().fence;
    f.grant_outcome = [](const auto&) { return call_outcome::not_sent; };
    f.release_outcome = [](const auto&) { return call_outcome::not_sent; };
    f.run(seconds{2});
    // A restarted process may answer at the address before its entry is read.
    f.grants.clear();
    f.grant_outcome = [](const auto&) { return call_outcome::accepted; };
    f.release_outcome = [](const auto&) { return call_outcome::accepted; };
    f.run(seconds{1});
    REQUIRE_FALSE(f.grants.empty());
    for (const auto& grant : f.grants) {
        CHECK(grant.fence > before);
    }
    CHECK(f.all_held());
}

namespace {

/// Moves all keys of s1 and returns whether the server would refuse a grant to s1 that arrives
/// after the release: a server refuses calls with a lower fence than the highest it has seen.
bool late_grant_is_refused(const coordinator_options& options)
{
    coordinator_fixture f{"h1", options};
    f.add_server("s1");
    f.run(seconds{6});
    const auto late = f.grants.back();
    f.add_server("s2");
    f.remove_server("s1");
    f.run(seconds{2});
    const auto release = std::find_if(f.releases.begin(), f.releases.end(),
                                      [](const auto& it) { return it.holder.id.value == "s1"; });
    return release != f.releases.end() && late.fence < release->fence;
}

/// Time from the loss of the store to the last grant.
duration time_of_grants_after_store_loss(const coordinator_options& options)
{
    coordinator_fixture f{"h1", options};
    f.add_server("s1");
    f.run(seconds{6});
    f.store_unreachable = true;
    const auto lost = f.now;
    auto last = lost;
    while (f.now < lost + seconds{20}) {
        f.grants.clear();
        f.run(millis{50});
        last = f.grants.empty() ? last : f.now;
    }
    return last - lost;
}

} // namespace

TEST_CASE("coordinator: after a release the server refuses late grants")
{
    CHECK(late_grant_is_refused({}));
}

TEST_CASE("coordinator mutation: after a release without the new fence late grants are accepted")
{
    CHECK_FALSE(late_grant_is_refused({.release_with_new_fence = false}));
}

TEST_CASE("coordinator: grants stop when the store cannot be read")
{
    const coordinator_options options;
    CHECK(time_of_grants_after_store_loss(options) <= options.read_validity);
}

TEST_CASE("coordinator mutation: grants go on if no recent read is required")
{
    const coordinator_options all_rules;
    CHECK(time_of_grants_after_store_loss({.require_recent_read = false}) >
          all_rules.read_validity);
}

TEST_CASE("coordinator: a read older than an own append does not restore the old table")
{
    coordinator_fixture f;
    f.add_server("s1");
    f.run(seconds{6});
    REQUIRE(f.all_held());
    const auto old = f.stored;
    const auto old_end = f.end;
    f.add_server("s2");
    f.remove_server("s1");
    f.run(millis{500});
    REQUIRE(f.end > old_end);
    const auto revision = f.core.table().revision;
    f.core.on_table_read(f.now, f.now, old, log_offset{old_end});
    CHECK(f.core.table().revision == revision);
}

// Guards against a host that never tries to become coordinator again after a failed read.
TEST_CASE("coordinator: a host whose read of the table failed takes over when the store is back")
{
    coordinator_fixture f;
    f.add_server("s1");
    f.store_unreachable = true;
    f.run(seconds{2});
    f.store_unreachable = false;
    f.run(seconds{6});
    CHECK(f.core.coordinating());
}

// Guards against a host that leaves and keeps the term, since it was writing the table when it was
// told to stop: its successor then waits until it counts as silent.
TEST_CASE("coordinator: a stop while the table is being written gives up the term")
{
    coordinator_fixture it;
    it.add_server("s1");
    it.add_server("s2");
    it.run(seconds{5});
    REQUIRE(it.core.coordinating());
    // A server goes: its keys are moved by an append that the store has not answered yet.
    it.remove_server("s2");
    std::vector<coordinator_effect> held_back;
    for (int i = 0; i < 400 && held_back.empty(); ++i) {
        it.now += millis{50};
        it.core.tick(it.now);
        for (auto& effect : it.core.take_effects()) {
            if (std::holds_alternative<append_table>(effect)) {
                held_back.push_back(effect);
            } else if (std::holds_alternative<read_table>(effect)) {
                it.core.on_table_read(it.now, it.now, it.stored, log_offset{it.end});
            } else if (const auto* grant = std::get_if<grant_keys>(&effect)) {
                it.core.on_call(it.now, grant->number, it.grant_outcome(*grant), "",
                                connection_number{1});
            } else if (const auto* release = std::get_if<release_keys>(&effect)) {
                it.core.on_call(it.now, release->number, it.release_outcome(*release), "token", {});
            }
        }
    }
    REQUIRE(!held_back.empty());
    it.core.stop(it.now);
    const auto& append = std::get<append_table>(held_back.front());
    it.stored = decode_table(append.data).value();
    ++it.end;
    it.core.on_append(it.now, append.number, append_outcome::appended);
    it.run(seconds{3});
    CHECK(it.core.stopped());
    CHECK_FALSE(it.core.coordinating());
    CHECK(it.stored->coordinator.value.empty());
}

// Guards against a host that leaves and keeps the term, since the store refused its one append.
TEST_CASE("coordinator: a refused append at the stop is sent again")
{
    coordinator_fixture it;
    it.add_server("s1");
    it.run(seconds{5});
    REQUIRE(it.core.coordinating());
    it.core.stop(it.now);
    const auto append = it.take_append();
    REQUIRE(append);
    it.core.on_append(it.now, append->number, append_outcome::not_done);
    it.run(seconds{3});
    CHECK(it.stored->coordinator.value.empty());
}

// Guards against a coordinator that is cut off from the servers and lets their grants end.
TEST_CASE(
    "coordinator: a host that stands aside gives up its term, and takes none until it is back")
{
    coordinator_fixture it;
    it.add_server("s1");
    it.run(seconds{5});
    REQUIRE(it.core.coordinating());
    it.core.set_standing_aside(true);
    it.run(seconds{1});
    CHECK_FALSE(it.core.coordinating());
    CHECK(it.stored->coordinator.value.empty());
    it.run(seconds{6});
    CHECK(it.stored->coordinator.value.empty());
    it.core.set_standing_aside(false);
    it.run(seconds{3});
    CHECK(it.core.coordinating());
    CHECK(it.all_held());
}

TEST_CASE("coordinator: a refused append of a host that stands aside is sent again")
{
    coordinator_fixture it;
    it.add_server("s1");
    it.run(seconds{5});
    REQUIRE(it.core.coordinating());
    it.core.set_standing_aside(true);
    it.core.tick(it.now);
    const auto append = it.take_append();
    REQUIRE(append);
    it.core.on_append(it.now, append->number, append_outcome::not_done);
    it.run(seconds{3});
    CHECK(it.stored->coordinator.value.empty());
}

TEST_CASE(
    "coordinator: a host that is told that the term is free takes it without waiting for silence")
{
    coordinator_fixture it{"h2"};
    assignment_table table{.term = 3, .revision = 4, .coordinator = host_id{"h1"}};
    it.stored = table;
    it.end = 1;
    for (int i = 0; i < 40; ++i) {
        it.run(millis{50});
        it.core.on_coordinator_heartbeat(it.now, table, duration{0});
    }
    REQUIRE_FALSE(it.core.coordinating());
    it.stored->coordinator = {};
    it.core.on_term_given_up(3);
    it.run(millis{300});
    CHECK(it.core.coordinating());
}

TEST_CASE("coordinator: at 1,000 servers a tick starts few calls, and all keys are soon held")
{
    coordinator_fixture f;
    for (int i = 0; i < 1000; ++i) {
        f.add_server(("s" + std::to_string(i)).c_str());
    }
    f.run(millis{1500});
    REQUIRE(f.core.table().ranges.size() == 1000);
    std::size_t most = 0;
    for (int i = 0; i < 100; ++i) {
        f.grants.clear();
        f.run(millis{50});
        most = std::max(most, f.grants.size());
    }
    CHECK(most <= coordinator_options{}.max_calls_per_tick);
    CHECK(f.all_held());
}

TEST_CASE("coordinator: a host that has just started leaves the term to stronger ones")
{
    coordinator_options options;
    options.takeover_start_delay = millis{400};
    coordinator_fixture f{"h1", options};
    f.add_server("s1");
    f.run(millis{350});
    CHECK_FALSE(f.core.coordinating());
    f.run(millis{1000});
    CHECK(f.core.coordinating());
}

TEST_CASE("coordinator: a store that turns appends away is asked less and less often")
{
    coordinator_fixture f;
    f.add_server("s1");
    f.run(seconds{3});
    REQUIRE(f.all_held());
    f.appends_turned_away = true;
    // The keys need a new fence, which has to be stored.
    f.grant_outcome = [](const grant_keys&) { return call_outcome::fenced; };
    f.run(seconds{3});
    CHECK(f.appends >= 3);
    CHECK(f.appends <= 6);
    f.appends_turned_away = false;
    f.grant_outcome = [](const grant_keys&) { return call_outcome::accepted; };
    f.run(seconds{2});
    CHECK(f.all_held());
}

// Each append that conflicted was followed by the next one at once, and the read between them was
// not heeded, as an append was under way: a host whose term another one had taken went on for 2 s.
TEST_CASE("coordinator: an append that conflicts is followed by a read, not by another append")
{
    coordinator_options options;
    options.read_interval = seconds{2};
    coordinator_fixture f{"h1", options};
    f.add_server("s1");
    f.run(seconds{3});
    REQUIRE(f.all_held());
    const auto read_at = f.core.last_read();
    while (f.core.last_read() == read_at) {
        f.run(millis{50});
    }
    // Another host takes the term.
    f.stored->term += 1;
    f.stored->revision += 1;
    f.stored->coordinator = host_id{"h2"};
    ++f.end;
    f.appends = 0;
    f.grant_outcome = [](const grant_keys&) { return call_outcome::fenced; };
    f.run(millis{1500});
    CHECK_FALSE(f.core.coordinating());
    CHECK(f.appends == 1);
}
