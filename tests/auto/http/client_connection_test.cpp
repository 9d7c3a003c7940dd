#include "quincewing/http/client_connection.hpp"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <memory>
#include <optional>

using namespace quincewing;

namespace {

/// A server on loopback that answers every request at once and counts the bytes that came.
struct small_server
{
    explicit small_server(event_loop& it) : loop(it)
    {
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        listener = evconnlistener_new_bind(loop.base(), on_accept, this, LEV_OPT_CLOSE_ON_FREE, -1,
                                           reinterpret_cast<sockaddr*>(&at), sizeof at);
        socklen_t n = sizeof at;
        getsockname(evconnlistener_get_fd(listener), reinterpret_cast<sockaddr*>(&at), &n);
        address = "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
    }
    ~small_server()
    {
        if (bev != nullptr) {
            bufferevent_free(bev);
        }
        evconnlistener_free(listener);
    }
    small_server(const small_server&) = delete;
    small_server& operator=(const small_server&) = delete;

    static void on_accept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* arg)
    {
        auto& self = *static_cast<small_server*>(arg);
        self.bev = bufferevent_socket_new(self.loop.base(), fd, BEV_OPT_CLOSE_ON_FREE);
        bufferevent_setcb(self.bev, on_read, nullptr, on_event, arg);
        bufferevent_enable(self.bev, EV_READ | EV_WRITE);
    }
    static void on_read(bufferevent* from, void* arg)
    {
        auto* in = bufferevent_get_input(from);
        static_cast<small_server*>(arg)->bytes += evbuffer_get_length(in);
        evbuffer_drain(in, evbuffer_get_length(in));
        const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        bufferevent_write(from, answer.data(), answer.size());
    }
    static void on_event(bufferevent* /*from*/, short what, void* arg)
    {
        auto& self = *static_cast<small_server*>(arg);
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
    std::size_t bytes{};
    bool closed{};
    std::function<void()> on_closed;
};

} // namespace

TEST_CASE("client connection: a request that is withdrawn before the connection stood is not sent")
{
    event_loop loop;
    small_server server{loop};
    client_connection it{loop, {.address = server.address}};
    std::optional<connection_loss> lost;
    bool ended = false;
    server.on_closed = [&] { loop.stop(); };
    it.send("GET / HTTP/1.1\r\n\r\n", "", true,
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
    CHECK_FALSE(it.sent());
    CHECK(server.bytes == 0);
}

TEST_CASE("client connection: a request that may be sent is answered")
{
    event_loop loop;
    small_server server{loop};
    client_connection it{loop, {.address = server.address}};
    std::optional<connection_loss> lost;
    bool ended = false;
    it.send("GET / HTTP/1.1\r\n\r\n", "", true,
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
    CHECK(server.bytes > 0);
}
