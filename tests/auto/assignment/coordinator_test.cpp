#include "quincewing/assignment/coordinator.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <variant>

using namespace quincewing;

namespace {

const service_id keyed{"vesitila"};

/// One coordinator against a store that answers at once and servers that the test plays.
struct fixture
{
    explicit fixture(const char* name = "h1", coordinator_options options = {})
        : it(
              [&] {
                  options.self = host_id{name};
                  return options;
              }(),
              {})
    {
    }

    void add_server(const char* id, std::uint64_t start = 1, const char* address = nullptr)
    {
        backend_server server{.id = server_id{id},
                              .start = server_start{start},
                              .address = address == nullptr ? id : address,
                              .service = keyed,
                              .data_centre = data_centre_id{"puumala"},
                              .slots = 2};
        servers[server.id] = server;
        it.set_servers(now, servers, {keyed});
    }
    void remove_server(const char* id)
    {
        servers.erase(server_id{id});
        it.set_servers(now, servers, {keyed});
    }
    void answer_store()
    {
        for (auto& effect : it.take_effects()) {
            if (std::holds_alternative<read_table>(effect) && store_away) {
                it.on_table_unreadable(now);
            } else if (std::holds_alternative<read_table>(effect)) {
                it.on_table_read(now, now, stored, log_offset{end});
            } else if (const auto* append = std::get_if<append_table>(&effect)) {
                const bool fits = append->at.value == end;
                if (fits) {
                    stored = decode_table(append->data).value();
                    ++end;
                }
                it.on_append(now, fits ? append_outcome::appended : append_outcome::conflict);
            } else if (const auto* grant = std::get_if<grant_keys>(&effect)) {
                grants.push_back(*grant);
                it.on_call(now, grant->number, on_grant(*grant), "", connection_number{1});
            } else if (const auto* release = std::get_if<release_keys>(&effect)) {
                releases.push_back(*release);
                it.on_call(now, release->number, on_release(*release), "token", {});
            }
        }
    }
    void run(duration time)
    {
        const auto until = now + time;
        while (now < until) {
            now += millis{50};
            it.tick(now);
            for (int i = 0; i < 4; ++i) {
                answer_store();
            }
        }
    }
    bool all_held() const
    {
        return !it.table().ranges.empty() &&
               std::all_of(it.table().ranges.begin(), it.table().ranges.end(),
                           [&](const auto& range) { return it.held(now, range); });
    }

    instant now{seconds{1000}};
    std::optional<assignment_table> stored;
    std::uint64_t end{};
    bool store_away{};
    backend_servers servers;
    std::vector<grant_keys> grants;
    std::vector<release_keys> releases;
    std::function<call_outcome(const grant_keys&)> on_grant = [](const auto&) {
        return call_outcome::accepted;
    };
    std::function<call_outcome(const release_keys&)> on_release = [](const auto&) {
        return call_outcome::accepted;
    };
    coordinator it;
};

} // namespace

TEST_CASE("coordinator: takes the term and grants all keys once")
{
    fixture f;
    f.add_server("s1");
    f.add_server("s2");
    f.run(seconds{6});
    CHECK(f.it.coordinating());
    CHECK(f.it.table().ranges.size() == 2);
    CHECK(f.all_held());
}

TEST_CASE("coordinator: another host leaves the term to a coordinator whose reads are in time")
{
    fixture f{"h2"};
    const coordinator_options options;
    f.stored = assignment_table{.term = 1, .revision = 1, .coordinator = host_id{"h1"}};
    f.end = 1;
    f.run(millis{100});
    // A beat every 250 ms, each with a read that is as old as reads get between two.
    for (int i = 0; i < 40; ++i) {
        f.it.on_coordinator_heartbeat(f.now, *f.stored, options.read_every + millis{100});
        f.run(millis{250});
    }
    CHECK_FALSE(f.it.coordinating());
    CHECK(f.stored->term == 1);
}

TEST_CASE("coordinator: a silent coordinator is followed by another host")
{
    fixture f{"h2"};
    f.stored = assignment_table{.term = 1, .revision = 1, .coordinator = host_id{"h1"}};
    f.end = 1;
    f.run(seconds{3});
    CHECK(f.it.coordinating());
    CHECK(f.stored->term == 2);
}

TEST_CASE("coordinator: keys of a server whose address another one has are free at once")
{
    fixture f;
    f.add_server("s1", 1, "10.0.0.1:80");
    f.add_server("s2", 1, "10.0.0.2:80");
    f.run(seconds{6});
    REQUIRE(f.all_held());
    // The process at the address knows nothing of keys.
    f.on_grant = [](const auto& call) {
        return call.holder.id.value == "s1" ? call_outcome::not_sent : call_outcome::accepted;
    };
    f.on_release = [](const auto&) { return call_outcome::rejected; };
    f.servers[server_id{"k1"}] = {.id = server_id{"k1"},
                                  .start = server_start{1},
                                  .address = "10.0.0.1:80",
                                  .service = service_id{"kassa"}};
    f.remove_server("s1");
    f.run(millis{700});
    CHECK(f.all_held());
}

TEST_CASE("coordinator: a new one takes over what is known of moves that had ended")
{
    fixture f{"h2"};
    f.add_server("s2");
    f.stored = assignment_table{
        .term = 1,
        .revision = 5,
        .coordinator = host_id{"h1"},
        .last_fence = 7,
        .ranges = {{.service = keyed,
                    .keys = {0, 65535},
                    .owner = {.id = server_id{"s2"}, .start = server_start{1}, .address = "s2"},
                    .fence = 7,
                    .previous_owner = {
                        .id = server_id{"s1"}, .start = server_start{1}, .address = "s1"}}}};
    f.end = 5;
    f.on_release = [](const auto&) { return call_outcome::not_sent; };
    f.it.on_coordinator_heartbeat(f.now, *f.stored, millis{100});
    f.it.note_released(f.stored->ranges[0]);
    f.run(seconds{3});
    CHECK(f.it.coordinating());
    CHECK(f.all_held());
    CHECK(f.releases.empty());
}

TEST_CASE("coordinator: a server that lived on is not passed over before its grant is over")
{
    fixture f;
    f.add_server("s1");
    f.add_server("s2");
    f.run(seconds{6});
    REQUIRE(f.all_held());
    const auto last = f.now;
    f.on_grant = [](const auto& call) {
        return call.holder.id.value == "s1" ? call_outcome::not_sent : call_outcome::accepted;
    };
    f.on_release = [](const auto&) { return call_outcome::unknown; };
    f.remove_server("s1");
    f.grants.clear();
    const coordinator_options options;
    while (f.now < last + options.grant_validity - options.renew_every) {
        f.run(millis{50});
        for (const auto& grant : f.grants) {
            const bool was_of_s1 = grant.fence > 2;
            CHECK_FALSE(was_of_s1);
        }
    }
    f.run(options.grant_validity + seconds{2});
    CHECK(f.all_held());
}

namespace {

/// Time from the start of a term that follows a silent coordinator to the first grant of keys
/// whose holder the new coordinator cannot reach.
duration time_to_pass_over(const coordinator_options& options)
{
    fixture f{"h2", options};
    f.add_server("s2");
    const key_holder lost{.id = server_id{"s1"}, .start = server_start{1}, .address = "s1"};
    f.stored = assignment_table{
        .term = 1,
        .revision = 5,
        .coordinator = host_id{"h1"},
        .last_fence = 7,
        .ranges = {{.service = keyed, .keys = {0, 65535}, .owner = lost, .fence = 7}}};
    f.end = 5;
    f.on_release = [](const auto&) { return call_outcome::not_sent; };
    while (!f.it.coordinating()) {
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
    "coordinator: keys of a silent holder wait until the coordinator before can have no grant")
{
    const coordinator_options options;
    // The one before may have read its own term just before this one began, act for as long as
    // that allows, and give a last grant of the greatest length on a slow clock.
    const auto least = options.read_validity + options.max_grant_validity * 102 / 100;
    CHECK(time_to_pass_over(options) >= least);
}

TEST_CASE("coordinator mutation: no wait for the coordinator before is too early")
{
    const coordinator_options whole;
    auto options = whole;
    options.wait_after_new_term = false;
    const auto least = whole.read_validity + whole.max_grant_validity * 102 / 100;
    CHECK(time_to_pass_over(options) < least);
}

TEST_CASE("coordinator: one that was suspended sends nothing on the strength of old reads")
{
    fixture f;
    f.add_server("s1");
    f.run(seconds{6});
    REQUIRE(f.all_held());
    f.grants.clear();
    f.now += seconds{5};
    f.it.tick(f.now);
    for (const auto& effect : f.it.take_effects()) {
        CHECK_FALSE(std::holds_alternative<grant_keys>(effect));
        CHECK_FALSE(std::holds_alternative<release_keys>(effect));
    }
}

TEST_CASE("coordinator: neighbours that came to one server become one range")
{
    fixture f;
    f.add_server("s1");
    f.add_server("s2");
    f.run(seconds{6});
    REQUIRE(f.it.table().ranges.size() == 2);
    f.remove_server("s2");
    f.run(seconds{2});
    CHECK(f.it.table().ranges.size() > 1);
    f.add_server("s3");
    f.run(seconds{3});
    f.remove_server("s3");
    f.run(seconds{3});
    f.add_server("s4");
    f.run(seconds{3});
    CHECK(f.all_held());
    CHECK(f.it.table().ranges.size() <= 4);
}

TEST_CASE("coordinator: a server that could not be reached is granted its keys under a new fence")
{
    fixture f;
    f.add_server("s1");
    f.run(seconds{6});
    REQUIRE(f.all_held());
    const auto before = f.grants.back().fence;
    f.on_grant = [](const auto&) { return call_outcome::not_sent; };
    f.on_release = [](const auto&) { return call_outcome::not_sent; };
    f.run(seconds{2});
    // Another process may answer at the address now; its entry comes later.
    f.grants.clear();
    f.on_grant = [](const auto&) { return call_outcome::accepted; };
    f.on_release = [](const auto&) { return call_outcome::accepted; };
    f.run(seconds{1});
    REQUIRE_FALSE(f.grants.empty());
    for (const auto& grant : f.grants) {
        CHECK(grant.fence > before);
    }
    CHECK(f.all_held());
}

namespace {

/// Moves all keys of s1 and tells whether a grant to s1 that is still on its way would be refused
/// after the release: a server refuses what is under a fence lower than the highest it has seen.
bool late_grant_is_refused(const coordinator_options& options)
{
    fixture f{"h1", options};
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

/// Time after the store went away until the last grant.
duration time_of_grants_without_store(const coordinator_options& options)
{
    fixture f{"h1", options};
    f.add_server("s1");
    f.run(seconds{6});
    f.store_away = true;
    const auto away = f.now;
    auto last = away;
    while (f.now < away + seconds{20}) {
        f.grants.clear();
        f.run(millis{50});
        last = f.grants.empty() ? last : f.now;
    }
    return last - away;
}

} // namespace

TEST_CASE("coordinator: a release makes the server refuse grants that come late")
{
    CHECK(late_grant_is_refused({}));
}

TEST_CASE("coordinator mutation: a release without the new fence lets late grants through")
{
    CHECK_FALSE(late_grant_is_refused({.release_with_new_fence = false}));
}

TEST_CASE("coordinator: without reads of the store grants end")
{
    const coordinator_options options;
    CHECK(time_of_grants_without_store(options) <= options.read_validity);
}

TEST_CASE("coordinator mutation: without the bound by reads grants go on")
{
    const coordinator_options whole;
    CHECK(time_of_grants_without_store({.bound_by_reads = false}) > whole.read_validity);
}

TEST_CASE("coordinator: a read that its own append overtook does not bring the old table back")
{
    fixture f;
    f.add_server("s1");
    f.run(seconds{6});
    REQUIRE(f.all_held());
    const auto old = f.stored;
    const auto old_end = f.end;
    f.add_server("s2");
    f.remove_server("s1");
    f.run(millis{500});
    REQUIRE(f.end > old_end);
    const auto revision = f.it.table().revision;
    f.it.on_table_read(f.now, f.now, old, log_offset{old_end});
    CHECK(f.it.table().revision == revision);
}
