#include "raw_caller.hpp"

#include "quincewing/net/endpoint.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <sys/socket.h>

namespace quincewing::testing {

raw_caller::raw_caller(event_loop& loop, const std::string& address)
    : bev_(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE))
{
    bufferevent_setcb(
        bev_,
        [](bufferevent* from, void* arg) {
            auto* in = bufferevent_get_input(from);
            std::string got(evbuffer_get_length(in), '\0');
            evbuffer_remove(in, got.data(), got.size());
            static_cast<raw_caller*>(arg)->received_ += got;
        },
        nullptr,
        [](bufferevent*, short what, void* arg) {
            auto& self = *static_cast<raw_caller*>(arg);
            self.closed_ = self.closed_ || (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0;
            self.broken_ = self.broken_ || (what & BEV_EVENT_ERROR) != 0;
        },
        this);
    bufferevent_enable(bev_, EV_READ | EV_WRITE);
    const auto to = parse_endpoint(address);
    bufferevent_socket_connect_hostname(bev_, nullptr, AF_INET, to.ip.c_str(), to.port);
}

raw_caller::~raw_caller()
{
    bufferevent_free(bev_);
}

void raw_caller::send(const std::string& bytes)
{
    bufferevent_write(bev_, bytes.data(), bytes.size());
}

void raw_caller::set_reading(bool on)
{
    if (on) {
        bufferevent_enable(bev_, EV_READ);
    } else {
        bufferevent_disable(bev_, EV_READ);
    }
}

std::string raw_caller::statuses() const
{
    constexpr std::size_t status_length = 3;
    const std::string line_start = "HTTP/1.1 ";
    std::string out;
    auto at = received_.find(line_start);
    while (at != std::string::npos) {
        at += line_start.size();
        out += (out.empty() ? "" : " ") + received_.substr(at, status_length);
        at = received_.find(line_start, at);
    }
    return out;
}

std::string post_request(const std::string& id)
{
    return "POST /x HTTP/1.1\r\nHost: desk.example\r\nX-Request: " + id +
           "\r\nX-Time-Left: 30000\r\nContent-Length: " + std::to_string(id.size()) + "\r\n\r\n" +
           id;
}

} // namespace quincewing::testing
