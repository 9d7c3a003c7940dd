#include "pausing_path.hpp"

#include "quincewing/net/endpoint.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

namespace quincewing::testing {

namespace {

sockaddr_in socket_address(const std::string& text)
{
    const auto it = parse_endpoint(text);
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(it.port);
    inet_pton(AF_INET, it.ip.c_str(), &out.sin_addr);
    return out;
}

} // namespace

pausing_path::pausing_path(event_loop& loop, const std::string& from, std::string to)
    : loop_(loop), to_(std::move(to))
{
    auto at = socket_address(from);
    listener_ = evconnlistener_new_bind(
        loop.base(),
        [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* arg) {
            static_cast<pausing_path*>(arg)->accept(fd);
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1, reinterpret_cast<sockaddr*>(&at),
        sizeof at);
}

pausing_path::~pausing_path()
{
    break_open();
    evconnlistener_free(listener_);
}

void pausing_path::accept(int fd)
{
    auto to = socket_address(to_);
    auto& it = connections_.emplace_back(
        connection{.path = this,
                   .near = bufferevent_socket_new(loop_.base(), fd, BEV_OPT_CLOSE_ON_FREE),
                   .far = bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE)});
    const auto on_read = [](bufferevent* from, void* arg) {
        const auto& self = *static_cast<connection*>(arg);
        bufferevent_write_buffer(from == self.near ? self.far : self.near,
                                 bufferevent_get_input(from));
    };
    const auto on_event = [](bufferevent*, short events, void* arg) {
        auto* self = static_cast<connection*>(arg);
        if ((events & BEV_EVENT_CONNECTED) == 0) {
            self->path->close(self);
        }
    };
    for (auto* side : {it.near, it.far}) {
        bufferevent_setcb(side, on_read, nullptr, on_event, &it);
    }
    bufferevent_socket_connect(it.far, reinterpret_cast<sockaddr*>(&to), sizeof to);
    set_reading(it, !paused_);
}

void pausing_path::set_reading(const connection& it, bool on)
{
    for (auto* side : {it.near, it.far}) {
        if (on) {
            bufferevent_enable(side, EV_READ);
        } else {
            bufferevent_disable(side, EV_READ);
        }
    }
}

void pausing_path::pause_open()
{
    for (const auto& it : connections_) {
        set_reading(it, false);
    }
}

void pausing_path::pause()
{
    paused_ = true;
    pause_open();
}

void pausing_path::go_on()
{
    paused_ = false;
    for (const auto& it : connections_) {
        set_reading(it, true);
    }
}

void pausing_path::break_open()
{
    while (!connections_.empty()) {
        close(&connections_.front());
    }
}

void pausing_path::close(connection* it)
{
    bufferevent_free(it->near);
    bufferevent_free(it->far);
    connections_.remove_if([it](const connection& other) { return &other == it; });
}

} // namespace quincewing::testing
