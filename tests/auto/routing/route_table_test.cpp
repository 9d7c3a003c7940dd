#include "quincewing/routing/route_table.hpp"

#include <doctest/doctest.h>
#include <map>

using namespace quincewing;

namespace {

route make_route(const char* host, const char* prefix, std::vector<service_share> shares)
{
    return {.name = prefix, .host = host, .path_prefix = prefix, .shares = std::move(shares)};
}

configuration make_configuration(std::uint64_t version, std::vector<route> routes)
{
    return {.version = config_version{version}, .routes = std::move(routes), .services = {}};
}

} // namespace

TEST_CASE("routing: the longest prefix of the host wins")
{
    route_table table;
    table.apply(make_configuration(1, {make_route("a", "/x/", {{service_id{"s1"}, 1}}),
                                       make_route("a", "/x/y/", {{service_id{"s2"}, 1}}),
                                       make_route("b", "/x/", {{service_id{"s3"}, 1}})}));
    CHECK(table.find("a", "/x/y/z")->route.path_prefix == "/x/y/");
    CHECK(table.find("a", "/x/yy")->route.path_prefix == "/x/");
    CHECK(table.find("a", "/other/") == nullptr);
    CHECK(table.find("c", "/x/") == nullptr);
}

TEST_CASE("routing: a configuration that is not newer is ignored")
{
    route_table table;
    CHECK(table.apply(make_configuration(9, {})));
    CHECK_FALSE(table.apply(make_configuration(8, {make_route("a", "/", {})})));
    CHECK_FALSE(table.apply(make_configuration(9, {make_route("a", "/", {})})));
    CHECK(table.find("a", "/") == nullptr);
}

TEST_CASE("routing: a traffic split is kept over short runs, also across new versions")
{
    const std::vector<service_share> shares{{service_id{"s1"}, 90}, {service_id{"s2"}, 10}};
    route_table table{7};
    std::map<std::size_t, int> picks;
    for (std::uint64_t version = 1; version <= 10; ++version) {
        table.apply(make_configuration(version, {make_route("a", "/", shares)}));
        const auto route = table.find("a", "/");
        for (int i = 0; i < 10; ++i) {
            ++picks[route->split.next()];
        }
    }
    CHECK(picks[1] >= 9);
    CHECK(picks[1] <= 11);
}
