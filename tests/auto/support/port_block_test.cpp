#include "port_block.hpp"

#include <doctest/doctest.h>
#include <fstream>
#include <set>

using namespace quincewing::testing;

// Tests that ran beside each other took one port: a host's start failed, or a fleet was not served.
TEST_CASE("port block: two have no port in common, and outgoing connections take none")
{
    const port_block a;
    const port_block b;
    CHECK((a.port(port_block::ports - 1) < b.port(0) || b.port(port_block::ports - 1) < a.port(0)));
    std::ifstream range{"/proc/sys/net/ipv4/ip_local_port_range"};
    int first_outgoing = 0;
    range >> first_outgoing;
    REQUIRE(first_outgoing > 0);
    CHECK(a.port(port_block::ports - 1) < first_outgoing);
    CHECK(b.port(port_block::ports - 1) < first_outgoing);
}

TEST_CASE("port block: a port comes again only after all others")
{
    std::set<int> given;
    for (int i = 0; i < port_block::ports; ++i) {
        CHECK(given.insert(free_port()).second);
    }
}

TEST_CASE("port block: it is free again when it has ended")
{
    int first = 0;
    {
        const port_block it;
        first = it.port(0);
    }
    const port_block again;
    CHECK(again.port(0) == first);
}
