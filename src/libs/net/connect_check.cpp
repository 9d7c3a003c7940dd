#include "quincewing/net/connect_check.hpp"

#include "quincewing/net/bound_socket.hpp"
#include "quincewing/net/endpoint.hpp"
#include "quincewing/net/event_loop.hpp"

#include <cerrno>
#include <event2/bufferevent.h>
#include <memory>

namespace quincewing {

namespace {

struct check_state
{
    std::function<void(connect_result)> done;
};

void on_event(bufferevent* bev, short events, void* arg)
{
    const int error = errno;
    const std::unique_ptr<check_state> state{static_cast<check_state*>(arg)};
    auto result = connect_result::silent;
    if ((events & BEV_EVENT_CONNECTED) != 0) {
        result = connect_result::accepted;
    } else if ((events & BEV_EVENT_ERROR) != 0 && error == ECONNREFUSED) {
        result = connect_result::refused;
    }
    bufferevent_free(bev);
    state->done(result);
}

} // namespace

void check_connect(event_loop& loop, const std::string& address, duration timeout,
                   std::function<void(connect_result)> done, const std::string& from)
{
    const auto to = parse_endpoint(address);
    auto* bev = bufferevent_socket_new(loop.base(), from.empty() ? -1 : open_socket_from(from),
                                       BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(bev, nullptr, nullptr, on_event, new check_state{std::move(done)});
    const auto tv = to_timeval(timeout);
    bufferevent_set_timeouts(bev, &tv, &tv);
    bufferevent_enable(bev, EV_READ | EV_WRITE);
    bufferevent_socket_connect_hostname(bev, nullptr, AF_INET, to.ip.c_str(), to.port);
}

} // namespace quincewing
