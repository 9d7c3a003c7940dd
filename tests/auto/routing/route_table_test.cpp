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
    route_table it;
    it.apply(make_configuration(1, {make_route("a", "/x/", {{service_id{"s1"}, 1}}),
                                    make_route("a", "/x/y/", {{service_id{"s2"}, 1}}),
                                    make_route("b", "/x/", {{service_id{"s3"}, 1}})}));
    CHECK(it.find("a", "/x/y/z")->route.path_prefix == "/x/y/");
    CHECK(it.find("a", "/x/yy")->route.path_prefix == "/x/");
    CHECK(it.find("a", "/other/") == nullptr);
    CHECK(it.find("c", "/x/") == nullptr);
}

TEST_CASE("routing: a version never goes back")
{
    route_table it;
    CHECK(it.apply(make_configuration(9, {})));
    CHECK_FALSE(it.apply(make_configuration(8, {make_route("a", "/", {})})));
    CHECK_FALSE(it.apply(make_configuration(9, {make_route("a", "/", {})})));
    CHECK(it.find("a", "/") == nullptr);
}

TEST_CASE("routing: a split holds in every short span, also across a new version")
{
    const std::vector<service_share> shares{{service_id{"s1"}, 90}, {service_id{"s2"}, 10}};
    route_table it{7};
    std::map<std::size_t, int> taken;
    for (std::uint64_t version = 1; version <= 10; ++version) {
        it.apply(make_configuration(version, {make_route("a", "/", shares)}));
        const auto route = it.find("a", "/");
        for (int i = 0; i < 10; ++i) {
            ++taken[route->split.next()];
        }
    }
    CHECK(taken[1] >= 9);
    CHECK(taken[1] <= 11);
}
