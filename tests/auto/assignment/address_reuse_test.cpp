#include "coordinator_fixture.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <set>

using namespace quincewing;
using namespace quincewing::testing;

namespace {

const char* const address = "10.0.0.1:80";
// Only the process of another keyed service takes a grant that is not meant for it.
const std::set<service_id> two_services{keyed_service, service_id{"keyed_too"}};

/// Grants among these that went to this address.
std::size_t grants_to(const coordinator_fixture& f, const std::string& to)
{
    return static_cast<std::size_t>(std::count_if(
        f.grants.begin(), f.grants.end(), [&](const auto& it) { return it.holder.address == to; }));
}

/// A coordinator whose server s1 has ended, and at whose address another process answers calls on
/// new connections.
struct reused_address
{
    explicit reused_address(std::set<service_id> keyed = two_services)
    {
        f.keyed = std::move(keyed);
        f.add_server("s1", 1, address);
        f.add_server("s2", 1, "10.0.0.2:80");
        f.run(seconds{6});
        REQUIRE(f.all_held());
        f.identify_outcome = [](const auto& call) {
            return call.holder.id.value == "s1" ? call_outcome::rejected : call_outcome::accepted;
        };
        f.newest_connection = connection_number{2};
        f.grant_outcome = [](const auto& call) {
            const bool on_old_connection = call.newest_connection == connection_number{1};
            return call.holder.id.value == "s1" && on_old_connection ? call_outcome::not_sent
                                                                     : call_outcome::accepted;
        };
    }
    coordinator_fixture f;
};

} // namespace

// Guards against a process that gets the keys of a dead one since it has its address, beside the
// server that has these keys in its own service (OWNER, review).
TEST_CASE("coordinator address: a server that is lost gets no grant until it is identified")
{
    reused_address it;
    auto& f = it.f;
    f.run(seconds{1});
    f.grants.clear();
    f.run(seconds{2});
    CHECK(grants_to(f, address) == 0);
    SUBCASE("its keys are granted elsewhere when its entry is gone and its grant is over")
    {
        f.release_outcome = [](const auto&) { return call_outcome::not_sent; };
        f.remove_server("s1");
        f.run(seconds{6});
        CHECK(grants_to(f, address) == 0);
        CHECK(f.all_held());
    }
    SUBCASE("a server that was only out of reach gets its keys under a new fence")
    {
        f.identify_outcome = [](const auto&) { return call_outcome::accepted; };
        const auto before = f.core.table().last_fence;
        f.run(millis{500});
        CHECK(grants_to(f, address) > 0);
        CHECK(f.core.table().last_fence > before);
        CHECK(f.all_held());
    }
    SUBCASE("a new start gets its keys")
    {
        f.identify_outcome = [](const auto&) { return call_outcome::accepted; };
        f.add_server("s1", 2, address);
        f.run(seconds{1});
        CHECK(grants_to(f, address) > 0);
    }
}

// Guards against a coordinator that has just begun, and knows nothing of the connections that its
// predecessor lost, granting a dead server's keys to the process that has its address (OWNER).
TEST_CASE("coordinator address: a new coordinator grants nothing to another process")
{
    reused_address before;
    coordinator_fixture f{"h2"};
    f.now = before.f.now;
    f.stored = before.f.stored;
    f.end = before.f.end;
    f.keyed = two_services;
    f.add_server("s1", 1, address);
    f.add_server("s2", 1, "10.0.0.2:80");
    f.identify_outcome = before.f.identify_outcome;
    f.run(seconds{4});
    REQUIRE(f.core.coordinating());
    CHECK(grants_to(f, address) == 0);
    CHECK(grants_to(f, "10.0.0.2:80") > 0);
}

// Guards against a grant on another connection than the one on which the server told its id.
TEST_CASE("coordinator address: a grant is bound to the connection of the identification")
{
    coordinator_fixture f;
    f.keyed = two_services;
    f.add_server("s1", 1, address);
    f.run(seconds{6});
    REQUIRE(!f.grants.empty());
    CHECK(!f.identifications.empty());
    for (const auto& it : f.grants) {
        CHECK(it.newest_connection == connection_number{1});
    }
}

// Guards against a grant that fails after its range got another fence: the server counted as well.
TEST_CASE("coordinator address: an unanswered grant of an old fence needs a new identification")
{
    coordinator_fixture f;
    f.keyed = two_services;
    f.add_server("s1", 1, address);
    f.run(seconds{6});
    REQUIRE(f.all_held());
    f.grant_outcome = [](const auto&) { return call_outcome::unknown; };
    f.identifications.clear();
    f.run(seconds{2});
    CHECK(!f.identifications.empty());
}

// Guards against a service whose keys were taken away by a configuration: its servers still accept
// grants.
TEST_CASE("coordinator address: a service that had keys counts")
{
    reused_address it;
    auto& f = it.f;
    f.keyed = {keyed_service};
    f.add_server("s2", 1, "10.0.0.2:80");
    f.run(seconds{1});
    f.grants.clear();
    f.run(seconds{3});
    CHECK(grants_to(f, address) == 0);
}

// Guards against keys that nobody serves where no other process takes their grants: a connection
// that breaks is no reason to wait there.
TEST_CASE("coordinator address: with one keyed service a grant follows a broken connection at once")
{
    reused_address it{{keyed_service}};
    auto& f = it.f;
    f.grants.clear();
    f.run(seconds{1});
    CHECK(grants_to(f, address) > 0);
}

// Guards against a grant to an address that two entries have, of which one process has ended.
TEST_CASE("coordinator address: no new grant goes to an address that another entry claims")
{
    coordinator_fixture f;
    f.keyed = two_services;
    f.add_server("s1", 1, address);
    f.add_server("s2", 1, "10.0.0.2:80");
    f.run(seconds{6});
    REQUIRE(f.all_held());
    f.grants.clear();
    f.add_server("s3", 2, address);
    SUBCASE("the holder is at its connection: its renewals go on")
    {
        f.run(seconds{3});
        CHECK(f.all_held());
    }
    SUBCASE("the holder's connection is gone, though its entry is renewed")
    {
        f.newest_connection = connection_number{2};
        f.grant_outcome = [](const auto& call) {
            const bool on_old_connection = call.newest_connection == connection_number{1};
            return call.holder.id.value == "s1" && on_old_connection ? call_outcome::not_sent
                                                                     : call_outcome::accepted;
        };
        f.run(seconds{2});
        f.grants.clear();
        f.run(seconds{1});
        CHECK(grants_to(f, address) == 0);
    }
    for (const auto& range : f.core.table().ranges) {
        CHECK(range.owner.id.value != "s3");
    }
    f.remove_server("s1");
    f.release_outcome = [](const auto&) { return call_outcome::accepted; };
    f.run(seconds{10});
    CHECK(grants_to(f, address) > 0);
    CHECK(f.all_held());
}
