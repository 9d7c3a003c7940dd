#include "quincewing/http/client_connection.hpp"

#include "raw_server.hpp"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <memory>
#include <optional>

using namespace quincewing;

namespace {

/// A loopback server that responds to whatever it receives and counts the received bytes.
struct loopback_server
{
    explicit loopback_server(event_loop& loop_) : loop(loop_)
    {
        sockaddr_in endpoint{};
        endpoint.sin_family = AF_INET;
        endpoint.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        listener = evconnlistener_new_bind(loop.base(), on_accept, this, LEV_OPT_CLOSE_ON_FREE, -1,
                                           reinterpret_cast<sockaddr*>(&endpoint), sizeof endpoint);
        socklen_t n = sizeof endpoint;
        getsockname(evconnlistener_get_fd(listener), reinterpret_cast<sockaddr*>(&endpoint), &n);
        address = "127.0.0.1:" + std::to_string(ntohs(endpoint.sin_port));
    }
    ~loopback_server()
    {
        if (bev != nullptr) {
            bufferevent_free(bev);
        }
        evconnlistener_free(listener);
    }
    loopback_server(const loopback_server&) = delete;
    loopback_server& operator=(const loopback_server&) = delete;

    static void on_accept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* arg)
    {
        auto& self = *static_cast<loopback_server*>(arg);
        self.bev = bufferevent_socket_new(self.loop.base(), fd, BEV_OPT_CLOSE_ON_FREE);
        bufferevent_setcb(self.bev, on_read, nullptr, on_event, arg);
        bufferevent_enable(self.bev, EV_READ | EV_WRITE);
    }
    static void on_read(bufferevent* from, void* arg)
    {
        auto* in = bufferevent_get_input(from);
        static_cast<loopback_server*>(arg)->received_bytes += evbuffer_get_length(in);
        evbuffer_drain(in, evbuffer_get_length(in));
        const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        bufferevent_write(from, response.data(), response.size());
    }
    static void on_event(bufferevent* /*from*/, short what, void* arg)
    {
        auto& self = *static_cast<loopback_server*>(arg);
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
            self.closed = true;
            if (self.on_closed) {
                self.on_closed();
            }
        }
    }

    event_loop& loop;
    evconnlistener* listener{};
    bufferevent* bev{};
    std::string address;
    std::size_t received_bytes{};
    bool closed{};
    std::function<void()> on_closed;
};

} // namespace

TEST_CASE("client connection: a request withdrawn when the connection is established is not sent")
{
    event_loop loop;
    loopback_server server{loop};
    client_connection connection{loop, {.address = server.address}};
    std::optional<connection_loss> lost;
    bool ended = false;
    server.on_closed = [&] { loop.stop(); };
    connection.send("GET / HTTP/1.1\r\n\r\n", "", true,
                    {.may_send = [] { return false; },
                     .on_end =
                         [&](bool) {
                             ended = true;
                             loop.stop();
                         },
                     .on_lost = [&](connection_loss how) { lost = how; }});
    loop.run();
    CHECK(lost == connection_loss::withdrawn);
    CHECK_FALSE(ended);
    CHECK_FALSE(connection.sent());
    CHECK(server.received_bytes == 0);
}

TEST_CASE("client connection: a request that is not withdrawn gets its response")
{
    event_loop loop;
    loopback_server server{loop};
    client_connection connection{loop, {.address = server.address}};
    std::optional<connection_loss> lost;
    bool ended = false;
    connection.send("GET / HTTP/1.1\r\n\r\n", "", true,
                    {.may_send = [] { return true; },
                     .on_end =
                         [&](bool) {
                             ended = true;
                             loop.stop();
                         },
                     .on_lost =
                         [&](connection_loss how) {
                             lost = how;
                             loop.stop();
                         }});
    loop.run();
    CHECK(ended);
    CHECK_FALSE(lost);
    CHECK(server.received_bytes > 0);
}

// Guards against a response that is dropped, since writing fails before it is read.
TEST_CASE("client connection: a response that came before the connection broke is read")
{
    constexpr std::size_t body_bytes = 16'000'000;
    event_loop loop;
    testing::raw_server server{loop, {.reading = false}};
    client_connection connection{loop, {.address = server.address()}};
    std::optional<connection_loss> lost;
    std::string received;
    bool ended = false;
    timer respond{loop, [&] {
                      server.send_and_close("HTTP/1.1 503 Service Unavailable\r\n"
                                            "Content-Length: 2\r\n\r\nno");
                  }};
    server.on_accepted = [&] { respond.once(millis{50}); };
    connection.send("POST / HTTP/1.1\r\nContent-Length: " + std::to_string(body_bytes) + "\r\n\r\n",
                    std::string(body_bytes, '.'), true,
                    {.may_send = [] { return true; },
                     .on_body = [&](const char* buf, std::size_t n) { received.append(buf, n); },
                     .on_end =
                         [&](bool) {
                             ended = true;
                             loop.stop();
                         },
                     .on_lost =
                         [&](connection_loss how) {
                             lost = how;
                             loop.stop();
                         }});
    loop.run();
    CHECK(ended);
    CHECK(received == "no");
    CHECK_FALSE(lost);
}

// Guards against a response that is given up since its server sent many interim ones while it was
// at work.
TEST_CASE("client connection: interim responses do not end a request")
{
    constexpr int interim_responses = 100;
    event_loop loop;
    testing::raw_server server{loop};
    client_connection connection{loop, {.address = server.address()}};
    std::optional<connection_loss> lost;
    int status = 0;
    server.on_received = [&] {
        for (int i = 0; i < interim_responses; ++i) {
            server.send("HTTP/1.1 102 Processing\r\n\r\n");
        }
        server.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    };
    connection.send("GET / HTTP/1.1\r\n\r\n", "", true,
                    {.may_send = [] { return true; },
                     .on_head =
                         [&](message_head& head) {
                             status = head.status;
                             return head_action::accept;
                         },
                     .on_end = [&](bool) { loop.stop(); },
                     .on_lost =
                         [&](connection_loss how) {
                             lost = how;
                             loop.stop();
                         }});
    loop.run();
    CHECK(status == 200);
    CHECK_FALSE(lost);
}

// Guards against: a connection on which the reading was paused at the end of a response never
// reads the response to its next request, which then ends at its deadline though its server has
// answered.
TEST_CASE("client connection: the response after one whose reading was paused is read")
{
    event_loop loop;
    loopback_server server{loop};
    client_connection connection{loop, {.address = server.address}};
    constexpr seconds most_wait{2};
    bool reusable = false;
    bool ended = false;
    const auto send_next = [&](bool may_reuse) {
        reusable = may_reuse;
        connection.send("GET / HTTP/1.1\r\n\r\n", "", true, {.on_end = [&](bool) {
                            ended = true;
                            loop.stop();
                        }});
    };
    connection.send("GET / HTTP/1.1\r\n\r\n", "", true,
                    {.on_body = [&](const char*, std::size_t) { connection.set_reading(false); },
                     .on_end = send_next});
    timer give_up{loop, [&] { loop.stop(); }};
    give_up.once(most_wait);
    loop.run();
    CHECK(reusable);
    CHECK(ended);
}

// Guards against responses that take a late loop many turns to read, though all of their bytes have
// come.
TEST_CASE("client connection: a long response is read in few turns of the loop")
{
    constexpr std::size_t body_bytes = 40'000;
    constexpr int few_turns = 3;
    event_loop loop;
    testing::raw_server server{loop};
    client_connection connection{loop, {.address = server.address()}};
    server.on_received = [&] {
        server.send_and_close(testing::response_to("a", std::string(body_bytes, '.')));
    };
    int turns = 0;
    std::optional<int> begun_in;
    std::size_t received = 0;
    bool ended = false;
    timer turn{loop, [&] {
                   ++turns;
                   turn.once(duration{0});
               }};
    turn.once(duration{0});
    timer limit{loop, [&] { loop.stop(); }};
    limit.once(seconds{5});
    connection.send("GET / HTTP/1.1\r\n\r\n", "", true,
                    {.on_body =
                         [&](const char*, std::size_t n) {
                             begun_in = begun_in.value_or(turns);
                             received += n;
                         },
                     .on_end =
                         [&](bool) {
                             ended = true;
                             loop.stop();
                         }});
    loop.run();
    CHECK(ended);
    CHECK(received == body_bytes);
    CHECK(turns - begun_in.value_or(0) <= few_turns);
}

// Guards against an answer to another request that extends to the end of the connection and passes
// for the answer that was waited for.
TEST_CASE("client connection: a skipped response that ends with the connection is no answer")
{
    event_loop loop;
    testing::raw_server server{loop};
    client_connection connection{loop, {.address = server.address()}};
    server.on_received = [&] { server.send_and_close("HTTP/1.1 200 OK\r\n\r\nof another"); };
    timer limit{loop, [&] { loop.stop(); }};
    limit.once(seconds{5});
    bool ended = false;
    std::optional<connection_loss> lost;
    connection.send("GET / HTTP/1.1\r\n\r\n", "", true,
                    {.on_head = [](message_head&) { return head_action::skip; },
                     .on_end =
                         [&](bool) {
                             ended = true;
                             loop.stop();
                         },
                     .on_lost =
                         [&](connection_loss how) {
                             lost = how;
                             loop.stop();
                         }});
    loop.run();
    CHECK(!ended);
    CHECK(lost == connection_loss::closed);
}

// Guards against a time that wraps around, so that a kept connection is used for ever or never.
TEST_CASE("client connection: an odd timeout of a kept connection is none, or a day at most")
{
    for (const auto& it : {std::pair{"timeout=5", seconds{5}},
                           {"timeout=9000000000000000", seconds{86'400}},
                           {"timeout=99999999999999999999999", seconds{0}},
                           {"timeout=-7", seconds{0}},
                           {"timeout=", seconds{0}},
                           {"max=3, timeout=2x", seconds{2}}}) {
        const std::string text = it.first;
        CAPTURE(text);
        event_loop loop;
        testing::raw_server server{loop};
        server.on_received = [&] {
            server.send("HTTP/1.1 200 OK\r\nKeep-Alive: " + text + "\r\nContent-Length: 0\r\n\r\n");
        };
        client_connection connection{loop, {.address = server.address()}};
        connection.send("GET / HTTP/1.1\r\n\r\n", "", true,
                        {.on_end = [&](bool) { loop.stop(); },
                         .on_lost = [&](connection_loss) { loop.stop(); }});
        loop.run();
        CHECK(connection.keep_alive_timeout() == it.second);
    }
}
