#include "raw_server.hpp"

#include "quincewing/http/call_pool.hpp"
#include "quincewing/http/client_connection.hpp"
#include "quincewing/http/http_call.hpp"
#include "quincewing/net/event_loop.hpp"

#include <doctest/doctest.h>
#include <stdexcept>
#include <string>
#include <vector>

using namespace quincewing;
using namespace quincewing::testing;

namespace {

const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// A loop that keeps what it is told of exceptions, and a server that answers each request.
struct guarded_run
{
    guarded_run()
    {
        loop.on_failure = [this](const char*, const char* error) { errors.emplace_back(error); };
        server.on_bytes = [this](std::size_t n, const std::string&) { server.send(whole, n); };
    }
    void run(duration time)
    {
        timer end{loop, [this] { loop.stop(); }};
        end.once(time);
        loop.run();
    }

    event_loop loop;
    raw_server server{loop};
    std::vector<std::string> errors;
};

} // namespace

// Guards against an exception in one timer's function that ends the process.
TEST_CASE("guard: a timer whose function throws goes on")
{
    guarded_run it;
    int fired = 0;
    timer faulty{it.loop, [&] {
                     ++fired;
                     throw std::runtime_error{"odd bytes"};
                 }};
    faulty.every(millis{20});
    it.run(millis{150});
    CHECK(fired >= 2);
    REQUIRE(it.errors.size() == static_cast<std::size_t>(fired));
    CHECK(it.errors.front() == "odd bytes");
}

// Guards against a request that stays without an end since what handled its answer threw.
TEST_CASE("guard: a request whose answer can't be handled is lost, and only this one")
{
    guarded_run it;
    for (const bool in_head : {true, false}) {
        CAPTURE(in_head);
        client_connection connection{it.loop, {.address = it.server.address()}};
        int lost = 0;
        connection.send(
            "GET / HTTP/1.1\r\n\r\n", "", true,
            {.on_head = [&](message_head&) -> head_action {
                 if (in_head) {
                     throw std::runtime_error{"odd head"};
                 }
                 return head_action::accept;
             },
             .on_body = [](const char*, std::size_t) { throw std::runtime_error{"odd body"}; },
             .on_lost = [&](connection_loss) { ++lost; }});
        it.run(millis{200});
        CHECK(lost == 1);
        CHECK(connection.closed());
    }
    CHECK(it.errors == std::vector<std::string>{"odd head", "odd body"});
}

// Guards against a call whose caller waits for ever, as its answer threw.
TEST_CASE("guard: a call whose answer can't be handled ends as one that may have been carried out")
{
    guarded_run it;
    call_pool pool{it.loop, {}};
    std::vector<http_answer> answers;
    const auto handle = [&](const http_answer& answer) {
        answers.push_back(answer);
        if (answer.status != 0) {
            throw std::runtime_error{"odd answer"};
        }
    };
    pool.call({.address = it.server.address()}, handle);
    http_call(it.loop, {.address = it.server.address()}, handle);
    it.run(millis{300});
    REQUIRE(answers.size() == 4);
    CHECK(it.errors.size() == 2);
    for (const auto& answer : answers) {
        CHECK((answer.status == 200 || (answer.status == 0 && answer.sent)));
    }
    // The pool serves the next call.
    int next = 0;
    pool.call({.address = it.server.address()},
              [&](const http_answer& answer) { next = answer.status; });
    it.run(millis{200});
    CHECK(next == 200);
}
