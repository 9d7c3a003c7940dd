#include "quincewing/backends/backend_pool.hpp"

#include "raw_server.hpp"

#include <doctest/doctest.h>
#include <memory>
#include <string>
#include <vector>

using namespace quincewing;
using namespace quincewing::testing;

namespace {

const std::string refused_response =
    "HTTP/1.1 503 Service Unavailable\r\nQuincewing-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
const std::string good_response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

exchange_ptr make_order()
{
    auto out = std::make_shared<exchange>();
    out->request.method = "POST";
    out->request.target = "/x";
    out->request.deadline = monotonic_now() + seconds{5};
    out->on_head = [](const response_head&) {};
    out->on_body = [](evbuffer*) { return true; };
    out->on_end = [](bool) {};
    return out;
}

} // namespace

// failure: a refusal that a server wrote once more was believed for the next request, which ran.
TEST_CASE("backend pool: a refusal written once more is not taken for the next request's")
{
    event_loop loop;
    raw_server server{loop};
    std::vector<verdict> verdicts;
    std::size_t requests = 0;
    server.on_bytes = [&](std::size_t connection, const std::string&) {
        ++requests;
        server.send(requests == 1 ? refused_response + refused_response : good_response,
                    connection);
    };
    std::unique_ptr<backend_pool> pool;
    pool = std::make_unique<backend_pool>(
        loop, server_id{"s1"}, server.address(), backend_options{},
        [&](const exchange_ptr&, const request_result& it) { verdicts.push_back(it.verdict); });
    timer second{loop, [&] { pool->send(make_order(), {}); }};
    second.once(millis{200});
    timer end{loop, [&] { loop.stop(); }};
    end.once(millis{800});
    pool->send(make_order(), {});
    loop.run();
    CHECK(verdicts == std::vector{verdict::not_run, verdict::ran});
    CHECK(requests == 2);
}
