#include "quincewing/assignment/table_change.hpp"

#include "test_options.hpp"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <doctest/doctest.h>

using namespace quincewing;

namespace {

/// A table of two services whose ranges have random sizes.
assignment_table random_table(boost::random::mt19937& random, std::uint64_t revision)
{
    assignment_table out{.term = 3, .revision = revision, .coordinator = host_id{"h"}};
    boost::random::uniform_int_distribution<int> pick{0, 9};
    for (const auto* service : {"a", "b"}) {
        std::uint32_t first = 0;
        while (first < key_count) {
            const auto size = 4000U * static_cast<std::uint32_t>(1 + pick(random));
            const auto last = std::min(first + size, key_count) - 1;
            out.ranges.push_back(
                {.service = service_id{service},
                 .keys = {static_cast<key_number>(first), static_cast<key_number>(last)},
                 .owner = {.id = server_id{"s" + std::to_string(pick(random))}},
                 .fence = static_cast<std::uint64_t>(pick(random))});
            first = last + 1;
        }
    }
    return out;
}

} // namespace

TEST_CASE("table change: applied to the old table it gives the new one")
{
    boost::random::mt19937 random{static_cast<std::uint32_t>(testing::options().seed)};
    for (int i = 0; i < 300; ++i) {
        const auto from = random_table(random, 7);
        const auto to = random_table(random, 9);
        const auto result = apply_table_change(from, diff_tables(from, to));
        REQUIRE(result);
        CHECK(encode_table(*result) == encode_table(to));
    }
}

TEST_CASE("table change: contains only what changed")
{
    boost::random::mt19937 random{static_cast<std::uint32_t>(testing::options().seed)};
    const auto from = random_table(random, 7);
    auto to = from;
    to.revision = 8;
    to.ranges[2].fence = 99;
    const auto change = diff_tables(from, to);
    REQUIRE(change.changed.size() == 1);
    CHECK(change.changed[0].fence == 99);
    CHECK(change.removed.empty());
}

TEST_CASE("table change: not applied to a table it is not based on")
{
    boost::random::mt19937 random{static_cast<std::uint32_t>(testing::options().seed)};
    const auto from = random_table(random, 7);
    const auto change = diff_tables(from, random_table(random, 8));
    auto other = from;
    other.revision = 6;
    CHECK_FALSE(apply_table_change(other, change));
    other = from;
    other.term = 2;
    CHECK_FALSE(apply_table_change(other, change));
}
