#include "quincewing/peers/link_watch.hpp"

#include "test_options.hpp"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <doctest/doctest.h>

using namespace quincewing;

namespace {

/// A link whose other end answers pings after 5 ms, until it falls silent.
struct watched_link
{
    explicit watched_link(std::size_t links_) : links(links_) { watch.reset(now); }

    /// Runs for this time; false once the link was given up.
    bool run(duration time)
    {
        for (const auto end = now + time; now < end; now += millis{500}) {
            const auto action = watch.check(now, heard, links);
            if (action == link_action::give_up) {
                return false;
            }
            if (action == link_action::ping) {
                ++pings;
                heard = silent ? heard : now + millis{5};
            }
        }
        return true;
    }

    std::size_t links;
    instant now{seconds{100}};
    instant heard{now};
    bool silent{};
    std::size_t pings{};
    link_watch watch;
};

} // namespace

TEST_CASE("link watch: in a small fleet each link is asked twice a second")
{
    watched_link it{10};
    CHECK(it.run(seconds{10}));
    CHECK(it.pings >= 18);
}

TEST_CASE("link watch: at 300 hosts the links without traffic are asked rarely")
{
    watched_link it{300};
    CHECK(it.run(seconds{60}));
    CHECK(it.pings <= 21);
}

TEST_CASE("link watch: a silent link is given up soon after something was sent on it")
{
    for (const std::size_t links : {1, 80, 300, 1100}) {
        watched_link it{links};
        CHECK(it.run(seconds{20}));
        it.silent = true;
        it.watch.on_sent(it.now, it.heard);
        const auto sent = it.now;
        CHECK_FALSE(it.run(seconds{60}));
        CHECK(it.now - sent <= millis{2200});
    }
}

TEST_CASE("link watch: a silent link without traffic is given up too, and one that answers never")
{
    boost::random::mt19937 random{static_cast<std::uint32_t>(testing::options().seed)};
    boost::random::uniform_int_distribution<int> percent{0, 99};
    for (std::uint64_t n = 0; n < testing::schedules_or(50); ++n) {
        watched_link it{static_cast<std::size_t>(11 * percent(random) + 1)};
        for (int i = 0; i < 50; ++i) {
            if (percent(random) < 30) {
                it.watch.on_sent(it.now, it.heard);
                it.heard = it.now + millis{percent(random)};
            }
            REQUIRE(it.run(millis{500}));
        }
        it.silent = true;
        CHECK_FALSE(it.run(seconds{8}));
    }
}
