#include "quincewing/dispatch/quota_leases.hpp"

#include "test_options.hpp"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <doctest/doctest.h>

using namespace quincewing;

namespace {

constexpr instant start{seconds{100}};
constexpr duration lease_time = millis{600};
const host_id first{"h1"};
const host_id second{"h2"};
const server_group group{.service = service_id{"orders"}, .keyed_server = server_id{"s1"}};
const server_group other{.service = service_id{"orders"}, .keyed_server = server_id{"s2"}};

bool any_host(const server_group&)
{
    return true;
}

/// A host whose quotas no earlier process of its place can have leased.
quota_lender settled_lender()
{
    quota_lender out{start - seconds{10}};
    out.set_lease_time(lease_time);
    return out;
}

bool leases(quota_lender& lender, instant now, const host_id& to, std::uint64_t number,
            const std::vector<server_group>& groups = {group})
{
    return !lender.on_request(now, to, number, groups, lease_time, any_host).empty();
}

} // namespace

// Guards against two dispatchers that use a host's part of a limit at one time.
TEST_CASE("quota: a host leases it to one dispatcher at a time")
{
    auto lender = settled_lender();
    CHECK(lender.may_use(start, group));
    REQUIRE(leases(lender, start, first, 1));
    CHECK_FALSE(lender.may_use(start, group));
    CHECK(lender.may_use(start, other));
    CHECK_FALSE(leases(lender, start + lease_time / 2, second, 1));
    CHECK(leases(lender, start + lease_time / 2, first, 2));
    CHECK_FALSE(leases(lender, start + lease_time, second, 2));
    const auto end = start + lease_time / 2 + lease_time;
    CHECK_FALSE(lender.may_use(end - duration{1}, group));
    CHECK(lender.may_use(end, group));
    CHECK(leases(lender, end, second, 3));
}

// Guards against a quota that waits for its lease to end although nobody uses it any more.
TEST_CASE("quota: one that is returned is leased again at once")
{
    auto lender = settled_lender();
    REQUIRE(leases(lender, start, first, 1, {group, other}));
    REQUIRE(leases(lender, start, first, 2, {other}));
    CHECK(lender.may_use(start, group));
    CHECK(leases(lender, start, second, 1));
    lender.on_returned(first);
    CHECK(lender.may_use(start, other));
}

// Guards against a request that comes late and takes back what a newer one returned.
TEST_CASE("quota: an older request that comes after a newer one changes nothing")
{
    auto lender = settled_lender();
    REQUIRE(leases(lender, start, first, 2));
    CHECK_FALSE(leases(lender, start, first, 1, {other}));
    CHECK_FALSE(lender.may_use(start, group));
    CHECK(lender.may_use(start, other));
}

// Guards against a dispatcher that gets the quotas of hosts that send their requests elsewhere.
TEST_CASE("quota: a host leases it to the dispatcher that it asks itself")
{
    auto lender = settled_lender();
    const auto none = lender.on_request(start, first, 1, {group}, lease_time,
                                        [](const server_group&) { return false; });
    CHECK(none.empty());
    CHECK(lender.may_use(start, group));
}

// Guards against a restarted host that leases what its process before leased to another.
TEST_CASE("quota: a host that has started lends and uses none for the time of a lease")
{
    quota_lender lender{start};
    lender.set_lease_time(lease_time);
    const auto before = start + lease_time - duration{1};
    CHECK_FALSE(lender.may_use(before, group));
    CHECK_FALSE(leases(lender, before, first, 1));
    CHECK(lender.may_use(start + lease_time, group));
    CHECK(leases(lender, start + lease_time, first, 2));
}

// Guards against a request that holds a quota for good.
TEST_CASE("quota: no lease is longer than a few seconds, whatever the request says")
{
    auto lender = settled_lender();
    REQUIRE_FALSE(
        lender.on_request(start, first, 1, {group}, duration{seconds{3600}}, any_host).empty());
    CHECK(lender.may_use(start + seconds{3}, group));
    REQUIRE_FALSE(
        lender.on_request(start + seconds{3}, first, 2, {group}, duration{-1}, any_host).empty());
    CHECK(lender.may_use(start + seconds{3}, group));
}

// Guards against a borrower whose lease ends after its lender has leased the quota anew.
TEST_CASE("quota: a lease counts from the sending of its request")
{
    quota_borrower borrower;
    const auto number = borrower.on_request(start, {group}, lease_time);
    CHECK(borrower.count(start, group) == 0);
    borrower.on_reply(first, number, {group});
    borrower.on_reply(second, number, {group});
    CHECK(borrower.count(start + lease_time - duration{1}, group) == 2);
    CHECK(borrower.count(start, other) == 0);
    CHECK(borrower.count(start + lease_time, group) == 0);
    borrower.on_request(start + lease_time / 2, {group}, lease_time);
    CHECK(borrower.count(start + lease_time, group) == 0);
}

// Guards against a reply that comes after the group was left out, with which its lease was
// returned.
TEST_CASE("quota: a lease that was under way when it was returned does not count")
{
    quota_borrower borrower;
    const auto number = borrower.on_request(start, {group}, lease_time);
    borrower.on_request(start, {other}, lease_time);
    borrower.on_request(start, {group, other}, lease_time);
    borrower.on_reply(first, number, {group});
    CHECK(borrower.count(start, group) == 0);

    const auto last = borrower.on_request(start, {group}, lease_time);
    borrower.return_all();
    borrower.on_reply(first, last, {group});
    CHECK(borrower.count(start, group) == 0);
}

TEST_CASE("quota: a host that answers that it leases one no more counts no more")
{
    quota_borrower borrower;
    borrower.on_reply(first, borrower.on_request(start, {group}, lease_time), {group});
    REQUIRE(borrower.count(start, group) == 1);
    borrower.on_reply(first, borrower.on_request(start, {group}, lease_time), {});
    CHECK(borrower.count(start, group) == 0);
}

// Guards against parts that add up to more than a server's limit.
TEST_CASE("quota: the parts of all hosts add up to no more than the limit")
{
    boost::random::mt19937_64 random{testing::options().seed};
    boost::random::uniform_int_distribution<std::size_t> any{1, 12};
    for (int round = 0; round < 200; ++round) {
        const auto known = any(random);
        double sum = 0;
        for (std::size_t left = known; left > 0;) {
            const auto used = std::min(left, any(random));
            const bool own = any(random) % 2 == 0;
            sum +=
                quota_share({.known_hosts = known, .own = own, .borrowed = own ? used - 1 : used});
            left -= used;
        }
        CHECK(sum <= 1 + 1e-9);
    }
    CHECK(quota_share({.known_hosts = 8, .own = true, .borrowed = 7}) == 1);
    CHECK(quota_share({.known_hosts = 8, .own = true}) == 0.125);
    CHECK(quota_share({.known_hosts = 8}) == 0);
    CHECK(quota_share({.known_hosts = 8, .own = true, .borrowed = 7, .fallback = true}) == 0);
    CHECK(quota_share({.known_hosts = 1, .own = true, .borrowed = 3}) == 1);
}

// Guards against leases that end before a lost request is repeated, or outlive what lenders allow.
TEST_CASE("quota: leases outlast one lost request, also in a large deployment")
{
    for (const std::size_t hosts : {1U, 6U, 72U, 300U, 1100U}) {
        CHECK(quota_lease_time(hosts) > 2 * quota_renew_interval(hosts));
        CHECK(quota_lease_time(hosts) <= seconds{3});
    }
}
