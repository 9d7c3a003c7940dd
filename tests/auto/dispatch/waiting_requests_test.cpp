#include "quincewing/dispatch/dispatcher.hpp"

#include <doctest/doctest.h>

using namespace quincewing;

namespace {

const service_id desk{"desk"};
const host_id first_host{"h1"};

backend_server server_of(const std::string& id, std::uint32_t slots)
{
    return {.id = server_id{id},
            .start = server_start{1},
            .service = desk,
            .data_centre = data_centre_id{"dc"},
            .slots = slots};
}

dispatch_request request_of(duration objective, duration time_left)
{
    return {.service = desk,
            .data_centre = data_centre_id{"dc"},
            .objective_left = objective.count(),
            .time_left = time_left.count()};
}

dispatch_ticket ticket_of(std::uint64_t number)
{
    return {.host = first_host, .number = number};
}

attempt_report answered_after(duration took)
{
    return {.outcome = attempt_outcome::answered, .took = static_cast<std::uint64_t>(took.count())};
}

} // namespace

// Guards against a slot that is never freed: a second grant replaced the first one's record.
TEST_CASE("dispatcher: a request that is submitted again takes no second slot")
{
    const instant now{seconds{10}};
    dispatcher target;
    target.set_servers({server_of("s1", 1)});
    target.submit(now, ticket_of(1), request_of(seconds{2}, seconds{4}));
    target.submit(now, ticket_of(2), request_of(seconds{2}, seconds{4}));
    CHECK(target.take_decisions().grants.size() == 1);
    target.submit(now, ticket_of(1), request_of(seconds{2}, seconds{4}));
    target.submit(now, ticket_of(2), request_of(seconds{2}, seconds{4}));
    const auto repeated = target.take_decisions();
    REQUIRE(repeated.grants.size() == 1);
    CHECK(repeated.grants[0].ticket == ticket_of(1));
    CHECK(target.queue_length() == 1);
    target.finish(now, ticket_of(1), answered_after(millis{100}));
    CHECK(target.take_decisions().grants.size() == 1);
    target.finish(now, ticket_of(2), answered_after(millis{100}));
    CHECK(target.idle());
    target.submit(now, ticket_of(3), request_of(seconds{2}, seconds{4}));
    CHECK(target.take_decisions().grants.size() == 1);
}

// Guards against requests that are held until their deadline although nobody can run them any more.
TEST_CASE("dispatcher: a waiting request is refused at once when its service has no server left")
{
    const instant now{seconds{10}};
    dispatcher target;
    target.set_servers({server_of("s1", 1)});
    target.submit(now, ticket_of(1), request_of(seconds{2}, seconds{4}));
    target.submit(now, ticket_of(2), request_of(seconds{2}, seconds{4}));
    CHECK(target.take_decisions().grants.size() == 1);
    target.set_servers({});
    target.tick(now + millis{50});
    const auto decisions = target.take_decisions();
    REQUIRE(decisions.rejections.size() == 1);
    CHECK(decisions.rejections[0].ticket == ticket_of(2));
    CHECK(decisions.rejections[0].retry_after > duration{0});
    CHECK(target.granted_count() == 1);
}

// The requester learns of the key's new owner by itself and asks there. The refusal is for one that
// does not learn of it.
TEST_CASE("dispatcher: a request for a lost owner of its key has a second to follow the key")
{
    const instant now{seconds{10}};
    dispatcher target;
    target.set_servers({server_of("s1", 1)});
    for (const std::uint64_t number : {1, 2}) {
        auto request = request_of(seconds{4}, seconds{6});
        request.required_server = server_id{"s1"};
        target.submit(now, ticket_of(number), request);
    }
    target.set_servers({});
    for (auto time = duration{0}; time <= millis{900}; time += millis{50}) {
        target.tick(now + time);
    }
    CHECK(target.take_decisions().rejections.empty());
    target.tick(now + millis{1100});
    CHECK(target.take_decisions().rejections.size() == 1);
    CHECK(target.queue_length() == 0);
}

TEST_CASE("dispatcher: a waiting request is refused once its answer is expected after its deadline")
{
    const instant now{seconds{10}};
    dispatcher target;
    target.set_servers({server_of("s1", 1)});
    target.submit(now, ticket_of(1), request_of(seconds{4}, seconds{4}));
    target.submit(now, ticket_of(2), request_of(millis{2900}, millis{2900}));
    target.submit(now, ticket_of(3), request_of(millis{2900}, millis{2900}));
    target.submit(now, ticket_of(4), request_of(seconds{4}, seconds{4}));
    target.take_decisions();
    // The server turns out to need a second for each: 2 begins now and 3 would end too late.
    target.finish(now + seconds{1}, ticket_of(1), answered_after(seconds{1}));
    target.tick(now + seconds{1});
    const auto decisions = target.take_decisions();
    CHECK(decisions.grants.size() == 1);
    REQUIRE(decisions.rejections.size() == 1);
    CHECK(decisions.rejections[0].ticket == ticket_of(3));
    CHECK(decisions.rejections[0].retry_after >= seconds{1});
    CHECK(target.queue_length() == 1);
}

TEST_CASE("dispatcher: a waiting request is refused when all servers are lost beyond its deadline")
{
    const instant now{seconds{10}};
    dispatcher target;
    target.set_servers({server_of("s1", 1)});
    target.submit(now, ticket_of(1), request_of(millis{500}, millis{500}));
    target.submit(now, ticket_of(2), request_of(millis{500}, millis{500}));
    target.submit(now, ticket_of(3), request_of(seconds{4}, seconds{4}));
    target.take_decisions();
    target.finish(now, ticket_of(1), {.outcome = attempt_outcome::connection_lost});
    target.tick(now);
    const auto decisions = target.take_decisions();
    REQUIRE(decisions.rejections.size() == 1);
    CHECK(decisions.rejections[0].ticket == ticket_of(2));
    CHECK(target.queue_length() == 1);
}

// A lost server gets one request at a time until it answers; its other slots come back then.
TEST_CASE("dispatcher: waiting requests are not refused while a lost server is being probed")
{
    const instant now{seconds{10}};
    dispatcher target;
    target.set_servers({server_of("s1", 4)});
    for (std::uint64_t number = 1; number <= 10; ++number) {
        target.submit(now, ticket_of(number), request_of(millis{1200}, millis{1200}));
    }
    target.take_decisions();
    target.finish(now, ticket_of(1), {.outcome = attempt_outcome::connection_lost});
    for (const std::uint64_t number : {2, 3, 4}) {
        target.finish(now, ticket_of(number), {.outcome = attempt_outcome::unused});
    }
    const auto queued = target.queue_length();
    REQUIRE(queued >= 5);
    const auto backoff_end = now + millis{450};
    target.tick(backoff_end);
    const auto decisions = target.take_decisions();
    CHECK(decisions.grants.size() == 1);
    CHECK(decisions.rejections.empty());
    CHECK(target.queue_length() == queued - 1);
}

// Guards against a host that is cut off and takes the servers away from the others.
TEST_CASE("dispatcher: a server that one of two hosts lost is given to the other")
{
    const instant now{seconds{10}};
    dispatcher target;
    target.set_losing_hosts(2);
    target.set_servers({server_of("s1", 4)});
    const dispatch_ticket cut_off{.host = host_id{"a/1"}, .number = 1};
    const dispatch_ticket well{.host = host_id{"b/1"}, .number = 1};
    const dispatch_ticket other{.host = host_id{"b/1"}, .number = 2};
    for (const auto& it : {cut_off, well}) {
        target.submit(now, it, request_of(seconds{1}, seconds{1}));
    }
    CHECK(target.take_decisions().grants.size() == 2);
    for (int i = 0; i < 5; ++i) {
        target.finish(now, cut_off, {.outcome = attempt_outcome::connection_lost});
        target.submit(now, cut_off, request_of(seconds{1}, seconds{1}));
        CHECK(target.take_decisions().grants.size() == 1);
    }
    SUBCASE("the other loses it too")
    {
        target.finish(now, well, {.outcome = attempt_outcome::connection_lost});
        target.submit(now, other, request_of(seconds{1}, seconds{1}));
        CHECK(target.take_decisions().rejections.size() == 1);
    }
    SUBCASE("the other gets an answer in between")
    {
        target.finish(now, well, {.outcome = attempt_outcome::answered, .took = 1000});
        target.finish(now, cut_off, {.outcome = attempt_outcome::connection_lost});
        target.submit(now, other, request_of(seconds{1}, seconds{1}));
        CHECK(target.take_decisions().grants.size() == 1);
    }
    SUBCASE("the first has asked the other, which did not reach it either")
    {
        target.finish(
            now, cut_off,
            {.outcome = attempt_outcome::connection_lost, .lost_by_other = host_id{"b/1"}});
        target.submit(now, other, request_of(seconds{1}, seconds{1}));
        CHECK(target.take_decisions().rejections.size() == 1);
    }
    SUBCASE("the first says that it is cut off")
    {
        target.finish(now, well, {.outcome = attempt_outcome::answered, .took = 1000});
        target.finish(now, cut_off, {.outcome = attempt_outcome::host_cut_off});
        target.submit(now, other, request_of(seconds{1}, seconds{1}));
        CHECK(target.take_decisions().grants.size() == 1);
    }
}

// Two hosts that are cut off fail at the same time, between two answers to others.
TEST_CASE("dispatcher: a server that answered shortly ago is not lost when two hosts fail")
{
    instant now{seconds{10}};
    dispatcher target;
    target.set_losing_hosts(2);
    target.set_servers({server_of("s1", 4)});
    const auto fail_twice = [&](duration took) {
        for (const char* host : {"a/1", "b/1"}) {
            const dispatch_ticket it{.host = host_id{host}, .number = 1};
            target.submit(now, it, request_of(seconds{1}, seconds{1}));
            target.finish(now, it,
                          {.outcome = attempt_outcome::connection_lost,
                           .took = static_cast<std::uint64_t>(took.count())});
        }
        target.take_decisions();
    };
    const auto granted = [&] {
        const dispatch_ticket it{.host = host_id{"c/1"}, .number = 1};
        target.submit(now, it, request_of(seconds{1}, seconds{1}));
        const bool out = !target.take_decisions().grants.empty();
        target.finish(now, it, {.outcome = attempt_outcome::unused});
        return out;
    };
    const dispatch_ticket well{.host = host_id{"c/1"}, .number = 2};
    target.submit(now, well, request_of(seconds{1}, seconds{1}));
    target.finish(now, well, {.outcome = attempt_outcome::answered, .took = 1000});
    target.take_decisions();
    now += millis{60};
    fail_twice(millis{1});
    CHECK(granted());
    now += millis{180};
    fail_twice(millis{250});
    CHECK(granted());
    now += millis{100};
    fail_twice(millis{1});
    CHECK_FALSE(granted());
}
