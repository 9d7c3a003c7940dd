#include "broken_server.hpp"

#include "quincewing/net/endpoint.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <string_view>
#include <sys/socket.h>

namespace quincewing::testing {

namespace {

constexpr millis look_every{20};
constexpr std::string_view half_an_answer =
    "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\nX-Server: broken\r\n\r\nhalf";

} // namespace

broken_server::broken_server(const std::string& address)
    : http_(evhttp_new(loop_.base())), look_timer_(loop_, [this] {
          if (stopping_) {
              loop_.stop();
          }
      })
{
    const auto at = parse_endpoint(address);
    evhttp_set_gencb(http_, handle, nullptr);
    listening_ = evhttp_bind_socket(http_, at.ip.c_str(), at.port) == 0;
    look_timer_.every(look_every);
    thread_ = std::thread{[this] { loop_.run(); }};
}

broken_server::~broken_server()
{
    stopping_ = true;
    thread_.join();
    evhttp_free(http_);
}

void broken_server::handle(evhttp_request* request, void* /*arg*/)
{
    const std::string_view path = evhttp_request_get_uri(request);
    if (path.starts_with("/quincewing/")) {
        evhttp_add_header(evhttp_request_get_output_headers(request), "Quincewing-Clock",
                          std::to_string(monotonic_now().time_since_epoch().count()).c_str());
        evhttp_send_reply(request, 200, nullptr, nullptr);
        return;
    }
    auto* connection = evhttp_request_get_connection(request);
    const auto fd = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
    send(fd, half_an_answer.data(), half_an_answer.size(), MSG_NOSIGNAL);
    shutdown(fd, SHUT_RDWR);
}

} // namespace quincewing::testing
