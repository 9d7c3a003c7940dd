#include "quincewing/dispatch/relay_hosts.hpp"

#include <doctest/doctest.h>

using namespace quincewing;

namespace {

const data_centre_id here{"here"};
const data_centre_id there{"there"};
const service_id boats{"boats"};
const service_id money{"money"};
const instant start{seconds{10}};

relay_hosts with_hosts()
{
    relay_hosts out{here, 1};
    out.add(host_id{"near-1"}, here);
    out.add(host_id{"near-2"}, here);
    out.add(host_id{"far-1"}, there);
    return out;
}

std::set<host_id> choices(relay_hosts& it, instant now, const service_id& service,
                          const std::set<host_id>& tried = {})
{
    std::set<host_id> out;
    for (int i = 0; i < 100; ++i) {
        if (const auto host = it.choose(now, service, tried)) {
            out.insert(*host);
        }
    }
    return out;
}

} // namespace

TEST_CASE("relay hosts: the own data centre first, another one after a failure")
{
    auto it = with_hosts();
    CHECK(choices(it, start, boats) == std::set{host_id{"near-1"}, host_id{"near-2"}});
    CHECK(choices(it, start, boats, {host_id{"near-1"}}) == std::set{host_id{"far-1"}});
    CHECK(choices(it, start, boats, {host_id{"near-1"}, host_id{"far-1"}}) ==
          std::set{host_id{"near-2"}});
}

// Guards against requests that go by way of a host that does not reach their service.
TEST_CASE("relay hosts: a host is a way to the services that it reaches only")
{
    auto it = with_hosts();
    it.set_unreached(host_id{"near-1"}, {boats});
    it.set_unreached(host_id{"near-2"}, {boats, money});
    CHECK(choices(it, start, boats) == std::set{host_id{"far-1"}});
    CHECK(choices(it, start, money) == std::set{host_id{"near-1"}});
    it.set_unreached(host_id{"near-2"}, {});
    CHECK(choices(it, start, boats) == std::set{host_id{"near-2"}});
    it.set_leaving(host_id{"near-2"});
    it.remove(host_id{"far-1"});
    CHECK(choices(it, start, boats).empty());
}

// Guards against a host that has just started and takes hosts that are cut off for a way.
TEST_CASE("relay hosts: what a host told before the link to it was made counts")
{
    relay_hosts it{here, 1};
    it.set_unreached(host_id{"near-1"}, {boats});
    it.add(host_id{"near-1"}, here);
    it.add(host_id{"near-2"}, here);
    CHECK(choices(it, start, boats) == std::set{host_id{"near-2"}});
    // It may have reached servers again meanwhile.
    it.remove(host_id{"near-1"});
    it.add(host_id{"near-1"}, here);
    CHECK(choices(it, start, boats).size() == 2);
}

// Guards against requests that go by way of a host at which the last ones failed.
TEST_CASE("relay hosts: a host at which a request failed is passed over while there are others")
{
    auto it = with_hosts();
    it.on_failed(start, host_id{"near-1"}, boats);
    CHECK(choices(it, start + millis{900}, boats) == std::set{host_id{"near-2"}});
    CHECK(choices(it, start + millis{900}, money).size() == 2);
    it.on_failed(start, host_id{"near-2"}, boats);
    CHECK(choices(it, start + millis{900}, boats) == std::set{host_id{"far-1"}});
    it.on_failed(start, host_id{"far-1"}, boats);
    CHECK(choices(it, start + millis{900}, boats).size() == 2);
    CHECK(choices(it, start + millis{1100}, boats).size() == 2);
}

TEST_CASE("relay hosts: of hosts that each miss a service one counts as the best placed")
{
    auto it = with_hosts();
    const std::set<service_id> keyed{boats, money};
    CHECK(it.fewest_unreached(keyed) == 0);
    it.set_unreached(host_id{"near-1"}, {boats});
    it.set_unreached(host_id{"near-2"}, {money});
    it.set_unreached(host_id{"far-1"}, {boats, money});
    CHECK(it.fewest_unreached(keyed) == 1);
    CHECK(it.fewest_unreached({boats}) == 0);
    CHECK(!relay_hosts{here, 1}.fewest_unreached(keyed));
}
