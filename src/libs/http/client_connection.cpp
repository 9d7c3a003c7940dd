#include "quincewing/http/client_connection.hpp"

#include "quincewing/http/status_line.hpp"
#include "quincewing/net/bound_socket.hpp"
#include "quincewing/net/endpoint.hpp"
#include "quincewing/net/reset_on_close.hpp"
#include "quincewing/net/socket_bytes.hpp"

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace quincewing {

namespace {

// Late responses to earlier requests, before the response to the request, and their bytes.
constexpr std::size_t max_skipped = 32;
constexpr std::size_t max_skipped_bytes = 16UL * 1024 * 1024;
constexpr int switching_protocols = 101;
constexpr std::size_t bytes_per_read_of_library = 4096;
constexpr std::size_t max_bytes_per_read = 64UL * 1024;

// An interim response has no body (RFC 9110, section 15.2): one that has is meant as the answer,
// and no other would follow. No request asks for an upgrade.
bool may_be_interim(const message_head& it)
{
    return it.status != switching_protocols && !it.length && !it.chunked &&
           find_header(it.headers, "Transfer-Encoding") == nullptr;
}

duration parse_keep_alive_timeout(const header_list& headers)
{
    const auto* value = find_header(headers, "Keep-Alive");
    constexpr std::string_view name = "timeout=";
    const auto at = value == nullptr ? std::string::npos : value->find(name);
    if (at == std::string::npos) {
        return duration{0};
    }
    constexpr std::int64_t longest_s = 86'400;
    std::int64_t timeout_s = 0;
    const std::string_view text = std::string_view{*value}.substr(at + name.size());
    std::from_chars(text.data(), text.data() + text.size(), timeout_s);
    return seconds{std::clamp<std::int64_t>(timeout_s, 0, longest_s)};
}

} // namespace

const char* to_string(connection_loss it)
{
    switch (it) {
    case connection_loss::refused:
        return "refused";
    case connection_loss::not_connected:
        return "not_connected";
    case connection_loss::reset:
        return "reset";
    case connection_loss::closed:
        return "closed";
    case connection_loss::malformed:
        return "malformed";
    case connection_loss::too_long:
        return "too_long";
    case connection_loss::withdrawn:
        return "withdrawn";
    case connection_loss::host_lost:
        return "host_lost";
    case connection_loss::unproven:
        return "unproven";
    }
    return "closed";
}

client_connection::client_connection(event_loop& loop, client_connection_options options)
    : loop_(loop), options_(std::move(options)),
      reader_({.kind = message_kind::response, .max_head = options_.max_head},
              {.on_head =
                   [this](message_head& head) {
                       const auto action = on_response_head(head);
                       skipping_ = action != head_action::accept;
                       rejected_ = action == head_action::reject;
                       return !response_has_body_;
                   },
               .on_body =
                   [this](const char* buf, std::size_t n) {
                       if (skipping_) {
                           return;
                       }
                       body_bytes_ += n;
                       // A longer body ends the response once this piece is read.
                       if (hooks_.on_body && !body_too_long()) {
                           hooks_.on_body(buf, n);
                       }
                   }}),
      connect_timer_(loop, [this] { fail(connection_loss::not_connected); }),
      failure_timer_(loop, [this] { fail(connect_failure_); })
{
    connect();
}

client_connection::~client_connection()
{
    close(busy_);
}

void client_connection::connect()
{
    const auto to = parse_endpoint(options_.address);
    const auto fd = options_.from.empty() ? -1 : open_socket_from(options_.from);
    bev_ = bufferevent_socket_new(loop_.base(), fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(
        bev_,
        [](bufferevent*, void* arg) {
            auto& self = *static_cast<client_connection*>(arg);
            self.guard([&] { self.on_input(); });
        },
        nullptr,
        [](bufferevent*, short what, void* arg) {
            auto& self = *static_cast<client_connection*>(arg);
            self.guard([&] { self.on_event(what); });
        },
        this);
    connect_timer_.once(options_.connect_timeout);
    if (bufferevent_socket_connect_hostname(bev_, nullptr, AF_INET, to.ip.c_str(), to.port) != 0) {
        connect_failure_ = connection_loss::not_connected;
        failure_timer_.soon();
    }
}

// A hook that throws has not used the response: for the request it is lost.
void client_connection::guard(const std::function<void()>& step)
{
    constexpr const char* where = "response of a server";
    if (!loop_.guard(where, step) && bev_ != nullptr) {
        loop_.guard(where, [this] { fail(connection_loss::malformed); });
    }
}

void client_connection::on_event(short what)
{
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        connected_ = true;
        connect_timer_.cancel();
        const int on = 1;
        setsockopt(bufferevent_getfd(bev_), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        set_unacknowledged_timeout(options_.unacknowledged_timeout);
        bufferevent_enable(bev_, EV_READ | EV_WRITE);
        if (busy_ && hooks_.may_send && !hooks_.may_send()) {
            fail(connection_loss::withdrawn);
        } else if (busy_) {
            write_request();
        }
        return;
    }
    const auto error = EVUTIL_SOCKET_ERROR();
    if (!connected_) {
        fail(error == ECONNREFUSED || error == ECONNRESET ? connection_loss::refused
                                                          : connection_loss::not_connected);
        return;
    }
    if ((what & BEV_EVENT_EOF) != 0) {
        on_readable();
        if (bev_ == nullptr || !busy_) {
            fail(connection_loss::closed);
            return;
        }
        // The body of a response without a length extends to the end of the connection.
        const bool own_body = reader_.inside_body() && !skipping_;
        if (own_body && reader_.end_of_stream() == read_result::complete) {
            reusable_ = false;
            complete_response();
            return;
        }
        fail(connection_loss::closed);
        return;
    }
    fail(connection_loss::reset);
}

void client_connection::send(const std::string& head, const std::string& body,
                             bool response_has_body, client_connection_hooks hooks)
{
    hooks_ = std::move(hooks);
    ++requests_;
    busy_ = true;
    sent_ = false;
    response_has_body_ = response_has_body;
    rejected_ = false;
    invalid_ = false;
    skipped_ = 0;
    skipped_bytes_ = 0;
    interim_bytes_ = 0;
    body_bytes_ = 0;
    body_limit_.reset();
    pending_ = head;
    pending_ += body;
    if (connected_) {
        write_request();
    }
}

void client_connection::write_request()
{
    sent_ = true;
    if (hooks_.on_sent) {
        hooks_.on_sent();
    }
    if (bev_ == nullptr) {
        return;
    }
    request_bytes_ = pending_.size();
    bufferevent_write(bev_, pending_.data(), pending_.size());
    pending_.clear();
}

// What is still in the output when the connection ends never leaves this host.
bool client_connection::any_written() const
{
    return bev_ == nullptr || evbuffer_get_length(bufferevent_get_output(bev_)) < request_bytes_;
}

bool client_connection::unread() const
{
    return bev_ != nullptr && unread_bytes(bufferevent_getfd(bev_)) > 0;
}

bool client_connection::read_waiting()
{
    const bool reading =
        bev_ != nullptr && connected_ && busy_ && (bufferevent_get_enabled(bev_) & EV_READ) != 0;
    if (!reading || read_more() == 0) {
        return false;
    }
    on_readable();
    return true;
}

// Asks before it reads: an error of the socket is for the library to report.
std::size_t client_connection::read_more()
{
    const auto fd = bufferevent_getfd(bev_);
    const auto waiting = std::min(unread_bytes(fd), max_bytes_per_read);
    if (waiting == 0) {
        return 0;
    }
    auto* in = bufferevent_get_input(bev_);
    evbuffer_iovec space{};
    std::size_t n = 0;
    evbuffer_unfreeze(in, 0);
    if (evbuffer_reserve_space(in, static_cast<ev_ssize_t>(waiting), &space, 1) == 1) {
        n = static_cast<std::size_t>(std::max<ssize_t>(recv(fd, space.iov_base, waiting, 0), 0));
        space.iov_len = n;
        evbuffer_commit_space(in, &space, 1);
    }
    evbuffer_freeze(in, 0);
    return n;
}

void client_connection::set_unacknowledged_timeout(duration it)
{
    options_.unacknowledged_timeout = it;
    if (bev_ == nullptr || !connected_) {
        return;
    }
    const auto limit = static_cast<unsigned>(it / millis{1});
    setsockopt(bufferevent_getfd(bev_), IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof limit);
}

head_action client_connection::on_response_head(message_head& head)
{
    interim_ = !is_final_status(head.status);
    if (interim_) {
        invalid_ = !may_be_interim(head);
        return head_action::skip;
    }
    reusable_ = head.keep_alive;
    keep_alive_timeout_ = parse_keep_alive_timeout(head.headers);
    return hooks_.on_head ? hooks_.on_head(head) : head_action::accept;
}

// The library reads little in each turn of the loop, so that a long response would take many turns.
void client_connection::on_input()
{
    if (evbuffer_get_length(bufferevent_get_input(bev_)) >= bytes_per_read_of_library) {
        read_more();
    }
    on_readable();
}

void client_connection::on_readable()
{
    while (bev_ != nullptr) {
        auto* in = bufferevent_get_input(bev_);
        if (evbuffer_get_length(in) == 0) {
            return;
        }
        if (!busy_) {
            // Bytes without an outstanding request: what follows could not be assigned to one.
            fail(connection_loss::malformed);
            return;
        }
        const auto waiting = evbuffer_get_length(in);
        const auto result = reader_.read(in);
        if (bev_ != nullptr && skipping_) {
            (interim_ ? interim_bytes_ : skipped_bytes_) += waiting - evbuffer_get_length(in);
        }
        if (bev_ != nullptr && invalid_) {
            fail(connection_loss::malformed);
            return;
        }
        if (bev_ != nullptr && rejected_) {
            fail(connection_loss::unproven);
            return;
        }
        if (bev_ != nullptr && body_too_long()) {
            fail(connection_loss::too_long);
            return;
        }
        if (bev_ != nullptr && too_many_skipped()) {
            fail(connection_loss::malformed);
            return;
        }
        if (bev_ == nullptr || result == read_result::need_more) {
            return;
        }
        if (result != read_result::complete) {
            fail(connection_loss::malformed);
            return;
        }
        if (!skipping_) {
            complete_response();
            return;
        }
        skipped_ += interim_ ? 0 : 1;
        if (too_many_skipped()) {
            fail(connection_loss::malformed);
            return;
        }
    }
}

bool client_connection::too_many_skipped() const
{
    return skipped_ > max_skipped || skipped_bytes_ > max_skipped_bytes ||
           interim_bytes_ > options_.max_head;
}

void client_connection::complete_response()
{
    busy_ = false;
    last_response_at_ = monotonic_now();
    const bool unsent = evbuffer_get_length(bufferevent_get_output(bev_)) > 0;
    const bool extra = evbuffer_get_length(bufferevent_get_input(bev_)) > 0;
    const bool reusable = reusable_ && !unsent && !extra;
    auto hooks = std::move(hooks_);
    hooks_ = {};
    if (!reusable) {
        close(unsent);
    }
    // The reader of this response may have paused it.
    set_reading(true);
    hooks.on_end(reusable);
}

void client_connection::fail(connection_loss how)
{
    connect_timer_.cancel();
    const bool was_busy = busy_;
    sent_ = sent_ && any_written();
    close(was_busy);
    busy_ = false;
    auto hooks = std::move(hooks_);
    hooks_ = {};
    if (was_busy && hooks.on_lost) {
        hooks.on_lost(how);
    } else if (on_idle_close_) {
        on_idle_close_();
    }
}

void client_connection::set_reading(bool on)
{
    if (bev_ == nullptr) {
        return;
    }
    if (on) {
        bufferevent_enable(bev_, EV_READ);
    } else {
        bufferevent_disable(bev_, EV_READ);
    }
}

void client_connection::abort()
{
    hooks_ = {};
    on_idle_close_ = nullptr;
    busy_ = false;
    connect_timer_.cancel();
    failure_timer_.cancel();
    close(true);
}

void client_connection::close(bool reset)
{
    if (bev_ == nullptr) {
        return;
    }
    if (const auto fd = bufferevent_getfd(bev_); reset && fd >= 0) {
        reset_on_close(fd);
    }
    bufferevent_free(bev_);
    bev_ = nullptr;
}

} // namespace quincewing
