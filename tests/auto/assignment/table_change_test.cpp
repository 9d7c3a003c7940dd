#include "quincewing/assignment/table_change.hpp"

#include "quincewing/assignment/balance_planner.hpp"
#include "quincewing/codec/codec.hpp"

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

namespace {

/// A table of so many servers, whose ranges have the fences 1, 2, ...
assignment_table make_table(std::size_t servers)
{
    assignment_table out{.term = 1, .revision = 1, .coordinator = host_id{"h1"}};
    const auto size = key_count / servers;
    for (std::size_t i = 0; i < servers; ++i) {
        const auto name = "i-" + std::to_string(8970000000 + i);
        const auto last = i + 1 == servers ? key_count - 1 : (i + 1) * size - 1;
        out.ranges.push_back(
            {.service = service_id{"keyed12"},
             .keys = {static_cast<key_number>(i * size), static_cast<key_number>(last)},
             .owner = {.id = server_id{name},
                       .start = server_start{1},
                       .address = "10.12.64.126:8667"},
             .fence = ++out.last_fence});
    }
    return out;
}

/// What another coordinator makes of it when it takes the term.
assignment_table with_new_term(assignment_table table)
{
    ++table.term;
    ++table.revision;
    table.coordinator = host_id{"h2"};
    for (auto& it : table.ranges) {
        it.fence = ++table.last_fence;
    }
    return table;
}

} // namespace

TEST_CASE("table change: a new term at 1,000 servers is told in a few bytes")
{
    auto before = make_table(1000);
    before.ranges[5].previous_owner = before.ranges[6].owner;
    auto after = with_new_term(before);
    // The new coordinator knows that the previous owner has released the keys.
    after.ranges[5].previous_owner = {};
    const auto change = diff_tables(before, after);
    CHECK(change.changed.size() == 1);
    CHECK(codec::encode(change).size() < 200);
    CHECK(apply_table_change(before, change) == after);
}

TEST_CASE("table change: hosts that speak 1 are told each new fence")
{
    const auto before = make_table(100);
    const auto after = with_new_term(before);
    const auto change = diff_tables(before, after, renewal_form::each_range);
    CHECK(change.fences_after == 0);
    CHECK(change.changed.size() == 100);
    CHECK(apply_table_change(before, change) == after);
}

TEST_CASE("table: the ranges that overlap keys, and the place of keys that no range has")
{
    assignment_table table;
    for (const key_number first : {10, 20, 40}) {
        table.ranges.push_back(
            {.service = service_id{"b"}, .keys = {first, static_cast<key_number>(first + 9)}});
    }
    const auto count = [&](const char* service, key_range keys) {
        return table.overlapping(service_id{service}, keys).size();
    };
    const auto place = [&](const char* service, key_range keys) {
        return table.overlapping(service_id{service}, keys).data() - table.ranges.data();
    };
    CHECK(count("b", {0, 65535}) == 3);
    CHECK(count("b", {19, 20}) == 2);
    CHECK(count("b", {29, 40}) == 2);
    CHECK(count("b", {30, 39}) == 0);
    CHECK(place("b", {30, 39}) == 2);
    CHECK(place("b", {0, 9}) == 0);
    CHECK(place("b", {50, 60}) == 3);
    CHECK(place("a", {0, 65535}) == 0);
    CHECK(place("c", {0, 65535}) == 3);
    CHECK(count("a", {0, 65535}) == 0);
}

// The store takes no larger record (256 KiB), and the table is one.
TEST_CASE("table: fits into one record at 2,000 servers")
{
    constexpr std::size_t max_record = 256UL * 1024;
    auto table = make_table(2000);
    CHECK(encode_table(table).size() < max_record);
    SUBCASE("with as many ranges as there may be, a quarter of them moving, and long numbers")
    {
        auto most = make_table(balance_options{}.max_ranges_of_table);
        for (std::size_t i = 0; i < most.ranges.size(); ++i) {
            most.ranges[i].owner.start.value += std::uint64_t{1} << 40U;
            most.ranges[i].fence += std::uint64_t{1} << 33U;
            if (i % 4 == 1) {
                most.ranges[i].previous_owner = most.ranges[i - 1].owner;
            }
        }
        CHECK(encode_table(most).size() < max_record);
    }
}
