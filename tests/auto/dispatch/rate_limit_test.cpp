#include "quincewing/dispatch/dispatcher.hpp"
#include "quincewing/dispatch/rate_bucket.hpp"

#include "test_options.hpp"

#include <algorithm>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <deque>
#include <doctest/doctest.h>

using namespace quincewing;

namespace {

constexpr instant start{seconds{100}};
const host_id host{"h1"};
const service_id service{"kassa"};

backend_server server_of(const char* id)
{
    return {.id = server_id{id}, .start = server_start{1}, .service = service, .slots = 4};
}

dispatch_request request_for(const char* server)
{
    return {.service = service,
            .required_server = server_id{server},
            .objective_left = duration{seconds{1}}.count(),
            .time_left = duration{seconds{3}}.count()};
}

struct submitted
{
    int granted{};
    std::vector<duration> returns;
    std::vector<std::string> reasons;
};

/// Submits requests at a steady rate; each that gets a slot is answered at once.
submitted submit_for(dispatcher& target, instant& now, duration time, double per_second,
                     const char* server, std::deque<instant>* grants = nullptr)
{
    static std::uint64_t number = 0;
    submitted out;
    const auto step =
        std::chrono::duration_cast<duration>(std::chrono::duration<double>(1 / per_second));
    for (const auto end = now + time; now < end; now += step) {
        target.submit(now, {host, ++number}, request_for(server));
        target.tick(now);
        const auto decisions = target.take_decisions();
        for (const auto& it : decisions.grants) {
            ++out.granted;
            if (grants != nullptr) {
                grants->push_back(now);
            }
            target.finish(now, it.ticket, {.outcome = attempt_outcome::answered, .took = 1000});
        }
        for (const auto& it : decisions.rejections) {
            out.returns.push_back(it.retry_after);
            out.reasons.emplace_back(it.reason);
        }
    }
    return out;
}

} // namespace

TEST_CASE("rate bucket: it begins empty and saves little")
{
    rate_bucket bucket{start};
    bucket.set_rate(start, request_rate{2});
    CHECK(bucket.wait(start) == millis{500});
    CHECK(bucket.wait(start + millis{500}) == duration{0});
    bucket.take(start + seconds{60});
    CHECK(bucket.wait(start + seconds{60}) == millis{500});
    bucket.set_rate(start + seconds{60}, request_rate{0});
    CHECK(bucket.wait(start + seconds{61}) > seconds{1000});
}

TEST_CASE("rate limit: a dispatcher grants no more than the server takes in any 4 s")
{
    boost::random::mt19937_64 random{testing::options().seed};
    boost::random::uniform_int_distribution<int> any{1, 40};
    for (int round = 0; round < 50; ++round) {
        const auto limit = any(random) / 4.0;
        dispatcher target;
        target.set_servers({server_of("s1")});
        target.set_rate_limits(start, {{server_id{"s1"}, request_rate{limit}}});
        auto now = start;
        std::deque<instant> grants;
        for (int part = 0; part < 5; ++part) {
            submit_for(target, now, seconds{4}, any(random), "s1", &grants);
            now += millis{100 * any(random)};
        }
        for (auto first = grants.begin(); first != grants.end(); ++first) {
            const auto end = std::lower_bound(first, grants.end(), *first + seconds{4});
            CHECK(static_cast<double>(end - first) <= 4.25 * limit + 2);
        }
    }
}

TEST_CASE(
    "rate limit: what the owner does not take is refused at once, each caller for another time")
{
    dispatcher target;
    target.set_servers({server_of("s1")});
    target.set_rate_limits(start, {{server_id{"s1"}, request_rate{2}}});
    auto now = start;
    const auto result = submit_for(target, now, seconds{3}, 10, "s1");
    CHECK(result.granted >= 4);
    CHECK(result.granted <= 7);
    REQUIRE(result.returns.size() > 15);
    CHECK(std::count(result.reasons.begin(), result.reasons.end(), "server_limit") ==
          static_cast<long>(result.reasons.size()));
    // No two of them in a row return at the same moment.
    for (std::size_t i = 1; i < result.returns.size(); ++i) {
        CHECK(result.returns[i] != result.returns[i - 1]);
    }
    CHECK(*std::max_element(result.returns.begin(), result.returns.end()) > seconds{3});
    CHECK(*std::max_element(result.returns.begin(), result.returns.end()) <= seconds{8});
}

TEST_CASE("rate limit: other servers take what a server without a key does not")
{
    dispatcher target;
    target.set_servers({server_of("s1"), server_of("s2")});
    target.set_rate_limits(start, {{server_id{"s1"}, request_rate{1}}});
    auto now = start;
    const auto result = submit_for(target, now, seconds{4}, 20, "");
    CHECK(result.granted == 80);
    CHECK(result.returns.empty());
}

// Guards against a limit whose end is not learned, since nothing is sent to the server any more.
TEST_CASE("rate limit: a server that costs more than others still gets a request now and then")
{
    dispatcher target;
    target.set_servers({server_of("s1"), server_of("s2")});
    auto now = start;
    target.submit(now, {host, 1'000'000}, request_for("s1"));
    target.finish(now, {host, 1'000'000}, {.outcome = attempt_outcome::answered, .took = 900'000});
    target.set_rate_limits(start, {{server_id{"s1"}, request_rate{2}}});
    REQUIRE(target.take_decisions().grants.size() == 1);
    int to_limited = 0;
    for (std::uint64_t n = 1; n <= 100; ++n, now += millis{100}) {
        target.submit(now, {host, 2'000'000 + n}, request_for(""));
        for (const auto& it : target.take_decisions().grants) {
            to_limited += it.server == server_id{"s1"} ? 1 : 0;
            target.finish(now, it.ticket, {.outcome = attempt_outcome::answered, .took = 1000});
        }
    }
    CHECK(to_limited >= 8);
}

TEST_CASE("rate limit: all servers of a service limit theirs")
{
    dispatcher target;
    target.set_servers({server_of("s1"), server_of("s2")});
    target.set_rate_limits(
        start, {{server_id{"s1"}, request_rate{1}}, {server_id{"s2"}, request_rate{2}}});
    auto now = start;
    const auto result = submit_for(target, now, seconds{10}, 20, "");
    CHECK(result.granted >= 25);
    CHECK(result.granted <= 32);
    CHECK(result.granted + static_cast<int>(result.returns.size()) >= 195);
}

TEST_CASE("rate limit: a dispatcher without a part of it refuses at once")
{
    dispatcher target;
    target.set_servers({server_of("s1")});
    target.set_rate_limits(start, {{server_id{"s1"}, request_rate{0}}});
    auto now = start;
    const auto result = submit_for(target, now, seconds{2}, 10, "s1");
    CHECK(result.granted == 0);
    CHECK(result.returns.size() == 20);
}

TEST_CASE("rate limit: without one the servers get all that they have slots for")
{
    dispatcher target;
    target.set_servers({server_of("s1")});
    target.set_rate_limits(start, {{server_id{"s1"}, request_rate{1}}});
    target.set_rate_limits(start, {});
    CHECK_FALSE(target.limited());
    auto now = start;
    CHECK(submit_for(target, now, seconds{2}, 20, "s1").granted == 40);
}
