#include "quincewing/http/call_pool.hpp"

#include "raw_server.hpp"

#include <doctest/doctest.h>

using namespace quincewing;

// failure: a grant that had waited for a connection was sent after its time, so that the server
// held the keys for longer than the coordinator counted.
TEST_CASE("late call: one whose time is over is not sent")
{
    event_loop loop;
    testing::raw_server server{loop};
    call_pool pool{loop, {.max_connections = 1}};
    std::optional<http_answer> late;
    pool.call({.address = server.address(), .path = "/first"}, [](const http_answer&) {});
    pool.call({.address = server.address(), .path = "/late", .timeout = millis{200}},
              [&](const http_answer& it) { late = it; });
    timer answer{loop, [&] { server.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"); }};
    answer.once(millis{350});
    timer end{loop, [&] { loop.stop(); }};
    end.once(millis{1500});
    loop.run();
    CHECK(server.received().find("/first") != std::string::npos);
    CHECK(server.received().find("/late") == std::string::npos);
    REQUIRE(late);
    CHECK_FALSE(late->sent);
}
