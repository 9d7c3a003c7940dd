#include "quincewing/assignment/takeover_order.hpp"

#include "test_options.hpp"

#include <algorithm>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <doctest/doctest.h>
#include <set>

using namespace quincewing;

namespace {

constexpr std::size_t host_count = 300;
constexpr std::size_t strong_count = 18;

std::vector<takeover_candidate> make_hosts()
{
    std::vector<takeover_candidate> out;
    for (std::size_t i = 0; i < host_count; ++i) {
        const auto name = "10.0.0." + std::to_string(i) + ":7200/1";
        out.push_back({.host = host_id{name}, .cores = i < strong_count ? 0.5 : 0.1});
    }
    return out;
}

std::vector<takeover_candidate> without(std::vector<takeover_candidate> hosts, std::size_t i)
{
    hosts.erase(hosts.begin() + static_cast<std::ptrdiff_t>(i));
    return hosts;
}

} // namespace

TEST_CASE("takeover order: at 300 hosts the strong ones come first, and no two have one place")
{
    const auto hosts = make_hosts();
    std::set<std::size_t> ranks;
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        const auto rank = takeover_rank(hosts[i], without(hosts, i));
        ranks.insert(rank);
        CHECK((rank < strong_count) == (i < strong_count));
    }
    CHECK(ranks.size() == host_count);
}

TEST_CASE(
    "takeover order: a host yields to one of twice its processor, never to one that tells none")
{
    const takeover_candidate weak{.host = host_id{"w"}, .cores = 0.1};
    CHECK(stronger_exists(weak, {{.host = host_id{"s"}, .cores = 0.5}}));
    CHECK_FALSE(stronger_exists(weak, {{.host = host_id{"s"}, .cores = 0.15}}));
    CHECK_FALSE(stronger_exists(weak, {{.host = host_id{"earlier"}}}));
    const takeover_candidate untold{.host = host_id{"u"}};
    CHECK_FALSE(stronger_exists(untold, {{.host = host_id{"s"}, .cores = 0.5}}));
}

// A partition leaves each host some of the others: the first of every part is one of its strongest.
TEST_CASE("takeover order: in any part of a fleet one of its strongest hosts comes first")
{
    boost::random::mt19937 random{static_cast<std::uint32_t>(testing::options().seed)};
    const auto hosts = make_hosts();
    for (std::uint64_t n = 0; n < testing::schedules_or(50); ++n) {
        std::vector<takeover_candidate> part;
        const auto percent = boost::random::uniform_int_distribution<int>{1, 100}(random);
        for (const auto& it : hosts) {
            if (boost::random::uniform_int_distribution<int>{1, 100}(random) <= percent) {
                part.push_back(it);
            }
        }
        const auto most = [](const auto& a, const auto& b) { return a.cores < b.cores; };
        for (std::size_t i = 0; i < part.size(); ++i) {
            if (takeover_rank(part[i], without(part, i)) == 0) {
                CHECK(part[i].cores == std::max_element(part.begin(), part.end(), most)->cores);
            }
        }
    }
}

TEST_CASE("takeover order: after a start of all hosts the weak leave the strong a lead")
{
    CHECK(takeover_start_delay(0.5) < takeover_start_delay(0.1));
    CHECK(takeover_start_delay(0) == duration{0});
    CHECK(takeover_start_delay(0.001) <= millis{400});
}
