#include "quincewing/assignment/coordinator.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <optional>
#include <variant>

using namespace quincewing;

namespace {

const service_id keyed_service{"keyed"};

/// A coordinator whose store and servers answer at once, but for releases.
struct moving_keys
{
    moving_keys()
    {
        core.tick(now);
        for (const auto* id : {"s1", "s2"}) {
            servers[server_id{id}] = {.id = server_id{id},
                                      .start = server_start{1},
                                      .address = id,
                                      .service = keyed_service,
                                      .slots = 2};
        }
        core.set_servers(now, servers, {keyed_service});
        run(seconds{6});
        granted = 0;
        servers.at(server_id{"s1"}).draining = true;
        core.set_servers(now, servers, {keyed_service});
        run(seconds{1});
    }
    void run(duration time)
    {
        for (const auto until = now + time; now < until; now += millis{50}) {
            core.tick(now);
            carry_out();
        }
    }
    void carry_out()
    {
        auto effects = core.take_effects();
        for (; !effects.empty(); effects = core.take_effects()) {
            for (const auto& it : effects) {
                std::visit([this](const auto& effect) { execute(effect); }, it);
            }
        }
    }
    void execute(const read_table&) { core.on_table_read(now, now, stored, log_offset{end}); }
    // With one keyed service no server is asked for its id.
    void execute(const identify_server&) {}
    void execute(const append_table& it)
    {
        stored = decode_table(it.data).value();
        ++end;
        core.on_append(now, it.number, append_outcome::appended);
    }
    void execute(const grant_keys& it)
    {
        granted += it.holder.id.value == "s2" && it.keys.contains(moved_key()) ? 1 : 0;
        core.on_call(now, it.number, call_outcome::accepted, "", connection_of(it.holder));
    }
    void execute(const release_keys& it) { release = it; }
    static connection_number connection_of(const key_holder& it)
    {
        return connection_number{it.id.value == "s1" ? 1U : 2U};
    }
    key_number moved_key() const { return release ? release->keys.first : key_number{}; }
    void answer_release(call_outcome outcome, const std::string& token)
    {
        const auto it = *std::exchange(release, std::nullopt);
        keys = it.keys;
        core.on_call(now, it.number, outcome, token, connection_of(it.holder));
        carry_out();
    }
    bool held() const
    {
        const auto* range = core.table().find(keyed_service, keys.first);
        return range != nullptr && range->owner.id.value == "s2" && core.held(now, *range);
    }

    instant now{seconds{1000}};
    std::optional<assignment_table> stored;
    std::uint64_t end{};
    std::size_t granted{};
    key_range keys;
    backend_servers servers;
    std::optional<release_keys> release;
    coordinator core{{.self = host_id{"h1"}}, {}};
};

} // namespace

// failure: an answer that may be another call's confirmed a release, and two servers worked on the
// same keys.
TEST_CASE("coordinator: a doubtful answer confirms no release")
{
    moving_keys it;
    REQUIRE(it.release);
    CHECK_FALSE(it.release->own_connection);
    it.answer_release(call_outcome::doubtful, "");
    CHECK_FALSE(it.held());
    SUBCASE("the release is sent again at once, on a connection of its own")
    {
        REQUIRE(it.release);
        CHECK(it.release->own_connection);
        it.answer_release(call_outcome::accepted, "t1");
        CHECK(it.held());
    }
    SUBCASE("a server that turns new connections away is asked on any")
    {
        REQUIRE(it.release);
        it.answer_release(call_outcome::not_sent, "");
        it.run(millis{300});
        REQUIRE(it.release);
        CHECK_FALSE(it.release->own_connection);
        CHECK_FALSE(it.held());
    }
}

TEST_CASE("coordinator: grants confirmed on a doubtful connection are confirmed anew")
{
    moving_keys it;
    REQUIRE(it.release);
    const auto ranges = it.core.table().ranges;
    const auto kept = std::find_if(ranges.begin(), ranges.end(), [&](const auto& range) {
        return range.owner.id.value == "s2" && it.core.held(it.now, range);
    });
    REQUIRE(kept != ranges.end());
    it.core.on_call(it.now, call_number{0}, call_outcome::doubtful, "", connection_number{2});
    CHECK_FALSE(it.core.held(it.now, *kept));
    it.run(millis{200});
    CHECK(it.core.held(it.now, *kept));
}

// failure: a release that was sent once more got an answer without a token from a holder that was
// still at work, and the keys were given on.
TEST_CASE("coordinator: an answer without a token confirms no release")
{
    moving_keys it;
    REQUIRE(it.release);
    it.answer_release(call_outcome::accepted, "");
    CHECK_FALSE(it.held());
    SUBCASE("the release is sent again")
    {
        it.run(millis{500});
        REQUIRE(it.release);
        it.answer_release(call_outcome::accepted, "t1");
        CHECK(it.held());
    }
    SUBCASE("the keys are given on when the last grant is over")
    {
        for (int i = 0; i < 30; ++i) {
            it.run(millis{500});
            if (it.release) {
                it.answer_release(call_outcome::accepted, "");
            }
        }
        CHECK(it.held());
    }
}

// Guards against an odd entry with the address of a holder that is full and rejects the release.
TEST_CASE(
    "coordinator: a rejection beside another service's entry confirms only when its own is gone")
{
    moving_keys it;
    REQUIRE(it.release);
    it.servers[server_id{"x"}] = {.id = server_id{"x"},
                                  .start = server_start{1},
                                  .address = "s1",
                                  .service = service_id{"other"},
                                  .slots = 2};
    it.core.set_servers(it.now, it.servers, {keyed_service});
    it.answer_release(call_outcome::rejected, "");
    CHECK_FALSE(it.held());
    it.servers.erase(server_id{"s1"});
    it.core.set_servers(it.now, it.servers, {keyed_service});
    it.run(millis{500});
    REQUIRE(it.release);
    it.answer_release(call_outcome::rejected, "");
    CHECK(it.held());
}
