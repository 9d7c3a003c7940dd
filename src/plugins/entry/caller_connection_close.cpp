#include "caller_connection.hpp"

#include "http_status.hpp"

#include "quincewing/net/reset_on_close.hpp"
#include "quincewing/net/socket_bytes.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <sys/socket.h>

/// caller_connection: timeouts, and its end.
namespace quincewing {

namespace {

// Time that a caller has to close a connection after a response that announced the close.
constexpr seconds linger_timeout{2};

} // namespace

// A request may cross the response that announces the close. If the socket were closed at once, the
// request would make the system reset the connection and drop what is left of the response.
void caller_connection::finish_sending()
{
    // The process may end before the system has sent what is in its buffer.
    const bool wait_for_caller = linger_ || (hooks_.stopping && hooks_.stopping() &&
                                             unacknowledged_bytes(bufferevent_getfd(bev_)) > 0);
    if (!wait_for_caller || reset_on_close_) {
        close();
        return;
    }
    if (sending_finished_at_) {
        return;
    }
    sending_finished_at_ = monotonic_now();
    shutdown(bufferevent_getfd(bev_), SHUT_WR);
    bufferevent_enable(bev_, EV_READ);
}

bool caller_connection::idle() const
{
    return exchanges_.empty() && !reader_.inside_message() &&
           evbuffer_get_length(bufferevent_get_output(bev_)) == 0 &&
           unacknowledged_bytes(bufferevent_getfd(bev_)) == 0;
}

void caller_connection::close_if_idle(instant now, duration idle_for)
{
    if (bev_ == nullptr || sending_finished_at_ || !idle() || now - idle_since_ <= idle_for) {
        return;
    }
    // On a late loop a request may have come that is read in the next turn.
    if (unread_bytes(bufferevent_getfd(bev_)) == 0) {
        close();
    }
}

void caller_connection::check_timeouts(instant now)
{
    if (bev_ == nullptr) {
        return;
    }
    if (sending_finished_at_) {
        const bool sent = unacknowledged_bytes(bufferevent_getfd(bev_)) == 0;
        const bool stopping = hooks_.stopping && hooks_.stopping();
        const bool overdue = now - *sending_finished_at_ > linger_timeout;
        if ((sent && !linger_) || (overdue && (sent || !stopping))) {
            close();
        }
        return;
    }
    if (reader_.inside_message() && !reader_.inside_body()) {
        if (exchanges_.empty() && now - head_started_ > options_.limits.head_timeout) {
            reject(http_status::request_timeout);
        }
        return;
    }
    // A caller that does not read its answers keeps the connection no longer than an idle one.
    const bool idle_too_long =
        exchanges_.empty() && now - idle_since_ > options_.limits.idle_timeout;
    if (idle_too_long && unread_bytes(bufferevent_getfd(bev_)) == 0) {
        close();
    }
}

void caller_connection::close(disconnect_cause cause)
{
    if (bev_ == nullptr) {
        return;
    }
    const auto fd = bufferevent_getfd(bev_);
    if ((reset_on_close_ || !exchanges_.empty()) && fd >= 0) {
        reset_on_close(fd);
    }
    bufferevent_free(bev_);
    bev_ = nullptr;
    auto unfinished = std::move(exchanges_);
    exchanges_.clear();
    for (const auto& it : unfinished) {
        it->disconnect(cause);
    }
    if (hooks_.on_closed) {
        hooks_.on_closed(this);
    }
}

} // namespace quincewing
