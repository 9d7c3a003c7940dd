#include "quincewing/deployment/configuration_currency.hpp"

#include "test_options.hpp"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <doctest/doctest.h>
#include <vector>

using namespace quincewing;
using namespace quincewing::testing;

namespace {

constexpr millis trust{1500};

instant at(millis it)
{
    return instant{} + seconds{100} + it;
}

} // namespace

TEST_CASE("configuration currency: a version is current as long as the last read that showed it")
{
    configuration_currency it;
    CHECK(!it.current(at(millis{0}), trust));
    it.on_applied(config_version{3});
    it.on_newest(at(millis{20}), config_version{3}, at(millis{0}));
    CHECK(it.current(at(millis{1499}), trust));
    CHECK(!it.current(at(millis{1500}), trust));
    CHECK(!it.behind());
}

TEST_CASE("configuration currency: what an older host says confirms nothing")
{
    configuration_currency it;
    it.on_applied(config_version{5});
    it.on_newest(at(millis{10}), config_version{5}, at(millis{0}));
    it.on_newest(at(millis{2000}), config_version{4}, at(millis{1990}));
    CHECK(!it.current(at(millis{2000}), trust));
    CHECK(!it.behind());
}

TEST_CASE("configuration currency: the read that showed a newer version counts once it is applied")
{
    configuration_currency it;
    it.on_applied(config_version{5});
    it.on_newest(at(millis{10}), config_version{7}, at(millis{0}));
    CHECK(it.behind());
    CHECK(!it.current(at(millis{10}), trust));
    it.on_applied(config_version{7});
    CHECK(!it.behind());
    CHECK(it.current(at(millis{10}), trust));
}

// Stated target: no host handles a request by a version that another replaced, acknowledged, longer
// ago than the time for which it trusts what it knows.
TEST_CASE("configuration currency: a trusted version was replaced no longer ago than the trust")
{
    const auto runs = schedules_or(2000);
    for (std::uint64_t seed = options().seed; seed < options().seed + runs; ++seed) {
        boost::random::mt19937_64 random{seed};
        const auto any = [&](int first, int last) {
            return boost::random::uniform_int_distribution<int>{first, last}(random);
        };
        struct read_result
        {
            instant arrives;
            config_version version;
            instant as_of;
        };
        configuration_currency host;
        config_version applied;
        std::vector<instant> acknowledged{at(millis{0})};
        std::vector<read_result> in_flight;
        for (auto now = at(millis{0}); now < at(seconds{20}); now += millis{20}) {
            if (any(0, 60) == 0) {
                acknowledged.push_back(now);
            }
            if (any(0, 10) == 0) {
                // A read, the host's own or another's, that is told late and in any order.
                in_flight.push_back(
                    {now + millis{any(0, 3000)}, config_version{acknowledged.size()}, now});
            }
            std::erase_if(in_flight, [&](const read_result& it) {
                if (it.arrives > now) {
                    return false;
                }
                if (it.version > applied && any(0, 1) == 0) {
                    applied = it.version;
                    host.on_applied(applied);
                }
                host.on_newest(now, it.version, it.as_of);
                return true;
            });
            if (host.current(now, trust) && applied.value < acknowledged.size()) {
                const auto replaced = acknowledged[applied.value];
                CHECK_MESSAGE(now - replaced <= trust, "seed ", seed);
            }
        }
    }
}
