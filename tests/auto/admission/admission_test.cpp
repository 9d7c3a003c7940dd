#include "quincewing/admission/server_queue.hpp"

#include <doctest/doctest.h>

using namespace quincewing;

namespace {

instant at(long long us)
{
    return instant{duration{us}};
}

queued_request request(std::uint64_t id, request_class klass, long long deadline)
{
    return {.id = request_id{id}, .klass = klass, .deadline = at(deadline)};
}

} // namespace

TEST_CASE("queue: requests in flight do not exceed the slots")
{
    server_queue queue{{.slots = 2, .cold_start_fraction = 1}};
    for (std::uint64_t i = 1; i <= 5; ++i) {
        CHECK(queue.offer(at(0), request(i, request_class::read, 10'000'000)));
    }
    int sent = 0;
    while (queue.next(at(0))) {
        ++sent;
    }
    CHECK(sent == 2);
    queue.finished(at(1000), request_id{1}, completion::ok);
    CHECK(queue.next(at(1000)));
    CHECK_FALSE(queue.next(at(1000)));
}

TEST_CASE("queue: a request that would miss its deadline is refused with a retry time")
{
    server_queue queue{{.slots = 1, .initial_service_time = millis{10}}};
    for (std::uint64_t i = 1; i <= 10; ++i) {
        CHECK(queue.offer(at(0), request(i, request_class::read, 1'000'000)));
    }
    const auto late = queue.offer(at(0), request(11, request_class::read, 50'000));
    REQUIRE_FALSE(late);
    CHECK(late.error().retry_after >= millis{90});
}

TEST_CASE("queue: an idle server accepts a request with two service times left")
{
    server_queue queue{{.slots = 1, .initial_service_time = seconds{1}}};
    CHECK(queue.offer(at(0), request(1, request_class::bulk, 2'000'000)));
    CHECK(queue.next(at(0)));
}

TEST_CASE("queue: bulk requests do not starve writes")
{
    server_queue queue{{.slots = 1, .cold_start_fraction = 1}};
    for (std::uint64_t i = 1; i <= 100; ++i) {
        CHECK(queue.offer(at(0), request(i, request_class::bulk, 10'000'000)));
    }
    for (std::uint64_t i = 101; i <= 110; ++i) {
        CHECK(queue.offer(at(0), request(i, request_class::write, 10'000'000)));
    }
    int writes = 0;
    for (int n = 0; n < 12; ++n) {
        const auto id = queue.next(at(n));
        REQUIRE(id);
        writes += id->value > 100 ? 1 : 0;
        queue.finished(at(n), *id, completion::ok);
    }
    CHECK(writes >= 9);
}

TEST_CASE("queue: a crash suspect is the only request in flight")
{
    server_queue queue{{.slots = 4, .cold_start_fraction = 1}};
    auto suspect = request(1, request_class::read, 10'000'000);
    suspect.exclusive = true;
    CHECK(queue.offer(at(0), suspect));
    CHECK(queue.offer(at(0), request(2, request_class::read, 10'000'000)));
    CHECK(queue.next(at(0)) == request_id{1});
    CHECK_FALSE(queue.next(at(0)));
    queue.finished(at(1), request_id{1}, completion::ok);
    CHECK(queue.next(at(1)) == request_id{2});
}

TEST_CASE("queue: rising service times lower the concurrency limit")
{
    server_queue queue{{.slots = 8, .cold_start_fraction = 1}};
    long long now = 0;
    const auto run = [&](long long took, int n) {
        for (int i = 0; i < n; ++i) {
            static std::uint64_t id = 1000;
            CHECK(queue.offer(at(now), request(++id, request_class::read, now + 60'000'000)));
            const auto sent = queue.next(at(now));
            REQUIRE(sent);
            now += took;
            queue.finished(at(now), *sent, completion::ok);
        }
    };
    run(1000, 50);
    CHECK(queue.limit() == 8);
    run(8000, 40);
    CHECK(queue.limit() < 6);
}
