#include "quincewing/membership/link_queue.hpp"

#include <doctest/doctest.h>

using namespace quincewing;

namespace {

std::string address_of(int i)
{
    return "10.0.0." + std::to_string(i) + ":7200";
}

} // namespace

TEST_CASE("link queue: of 300 hosts the strong ones are linked at once, the others within seconds")
{
    link_queue queue{0.1};
    for (int i = 0; i < 300; ++i) {
        queue.add(address_of(i), i % 17 == 0 ? 0.5 : 0.1);
    }
    const auto first = queue.take_due();
    for (int i = 0; i < 300; i += 17) {
        CHECK(first.contains(address_of(i)));
    }
    CHECK(first.size() < 30);
    auto all = first.size();
    int calls = 1;
    while (all < 300 && calls < 100) {
        const auto next = queue.take_due();
        CHECK(next.size() <= 5);
        all += next.size();
        ++calls;
    }
    CHECK(all == 300);
    CHECK(calls <= 60);
}

TEST_CASE("link queue: hosts of one size are linked at once, and so are all if sizes are not known")
{
    link_queue equal{0.2};
    link_queue unknown{0};
    for (int i = 0; i < 80; ++i) {
        equal.add(address_of(i), 0.2);
        unknown.add(address_of(i), 0);
    }
    CHECK(equal.take_due().size() == 80);
    CHECK(unknown.take_due().size() == 80);
}

TEST_CASE("link queue: an address waits once, and may come again later")
{
    link_queue queue{0.2};
    queue.add(address_of(1), 0.2);
    queue.add(address_of(1), 0.2);
    CHECK(queue.take_due().size() == 1);
    CHECK(queue.take_due().empty());
    queue.add(address_of(1), 0.2);
    CHECK(queue.take_due().size() == 1);
}
