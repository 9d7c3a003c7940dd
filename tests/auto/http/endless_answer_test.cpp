#include "endless_server.hpp"

#include "quincewing/http/call_pool.hpp"
#include "quincewing/http/client_connection.hpp"
#include "quincewing/http/http_call.hpp"

#include <doctest/doctest.h>
#include <optional>

using namespace quincewing;
using namespace quincewing::testing;

namespace {

constexpr std::size_t max_answer = 256UL * 1024;
/// Stated target for one call: its limit, and what the sockets of loopback hold.
constexpr std::size_t allowed_bytes = 8UL * 1024 * 1024;
constexpr millis timeout{1000};
/// A call without an answer looks once whether the process is there.
constexpr millis end_slack{500};

struct ended_call
{
    http_answer answer;
    duration took{};
};

/// Makes a call and waits for its end.
template <class Call>
std::optional<ended_call> wait_for_end(event_loop& loop, const Call& call)
{
    std::optional<ended_call> out;
    const auto begun = monotonic_now();
    timer limit{loop, [&] { loop.stop(); }};
    limit.once(timeout + 4 * end_slack);
    timer end{loop, [&] { loop.stop(); }};
    call([&](const http_answer& it) {
        out = ended_call{it, monotonic_now() - begun};
        end.once(millis{50});
    });
    loop.run();
    return out;
}

void check_end(const std::optional<ended_call>& it, const endless_server& server)
{
    REQUIRE(it);
    CHECK(it->answer.status == 0);
    CHECK(it->answer.body.empty());
    CHECK(it->took <= timeout + end_slack);
    CHECK(server.taken() <= allowed_bytes);
    CHECK(server.open_connections() == 0);
}

} // namespace

// Guards against a call that keeps bytes without end until the process has no memory left.
TEST_CASE("endless answer: a single call reads no more than its limit")
{
    for (const auto& bytes : all_endless_bytes()) {
        CAPTURE(bytes.name);
        event_loop loop;
        endless_server server{loop, bytes};
        const auto end = wait_for_end(loop, [&](const auto& done) {
            http_call(loop,
                      {.address = server.address(), .timeout = timeout, .max_answer = max_answer},
                      done);
        });
        check_end(end, server);
    }
}

// Guards against the same on the connections of a pool.
TEST_CASE("endless answer: a call of a pool reads no more than its limit")
{
    for (const auto& bytes : all_endless_bytes()) {
        CAPTURE(bytes.name);
        event_loop loop;
        endless_server server{loop, bytes};
        call_pool pool{loop, {.max_response_size = max_answer}};
        const auto end = wait_for_end(loop, [&](const auto& done) {
            pool.call({.address = server.address(), .timeout = timeout}, done);
        });
        check_end(end, server);
        CHECK(end->answer.sent);
    }
}

// Guards against a call whose time counts from the last byte, so that slow bytes never end it.
TEST_CASE("endless answer: a call ends with its time though bytes go on to come")
{
    constexpr millis pause{100};
    for (auto bytes : all_endless_bytes()) {
        CAPTURE(bytes.name);
        bytes.filler.resize(
            bytes.filler.find('\n') == std::string::npos ? 4 : bytes.filler.rfind('\n', 64) + 1);
        for (const bool pooled : {false, true}) {
            CAPTURE(pooled);
            event_loop loop;
            endless_server server{loop, bytes, pause};
            call_pool pool{loop, {}};
            const auto end = wait_for_end(loop, [&](const auto& done) {
                const http_request request{.address = server.address(), .timeout = timeout};
                if (pooled) {
                    pool.call(request, done);
                } else {
                    http_call(loop, request, done);
                }
            });
            check_end(end, server);
        }
    }
}

// Guards against late answers of a great size that keep a connection busy until the deadline.
TEST_CASE("endless answer: a response that is passed over ends too")
{
    for (const auto& bytes : all_endless_bytes()) {
        CAPTURE(bytes.name);
        event_loop loop;
        endless_server server{loop, bytes};
        client_connection it{loop, {.address = server.address()}};
        bool lost = false;
        it.send("GET / HTTP/1.1\r\n\r\n", "", true,
                {.on_head = [](message_head&) { return head_action::skip; },
                 .on_lost =
                     [&](connection_loss) {
                         lost = true;
                         loop.stop();
                     }});
        timer limit{loop, [&] { loop.stop(); }};
        limit.once(seconds{5});
        loop.run();
        CHECK(lost);
        // Passed over, not kept: a late answer may be a long one.
        constexpr std::size_t allowed_to_pass = 32UL * 1024 * 1024;
        CHECK(server.taken() <= allowed_to_pass);
    }
}

// Guards against answers that are refused since they come near the limit.
TEST_CASE("endless answer: a body of the largest size is whole")
{
    event_loop loop;
    endless_server server{
        loop,
        {.start = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(max_answer) + "\r\n\r\n",
         .filler = std::string(max_answer, 'x')}};
    const auto end = wait_for_end(loop, [&](const auto& done) {
        http_call(loop, {.address = server.address(), .timeout = timeout, .max_answer = max_answer},
                  done);
    });
    REQUIRE(end);
    CHECK(end->answer.status == 200);
    CHECK(end->answer.body.size() == max_answer);
}
