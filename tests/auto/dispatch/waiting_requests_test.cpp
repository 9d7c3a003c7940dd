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
