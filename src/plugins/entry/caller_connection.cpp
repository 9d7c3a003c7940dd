#include "caller_connection.hpp"

#include "quincewing/net/reset_on_close.hpp"
#include "quincewing/net/socket_bytes.hpp"

#include <algorithm>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace quincewing {

namespace {

// Bytes of pipelined requests that are read ahead. Reading goes on while requests are handled, so
// that a disconnect is noticed.
constexpr std::size_t max_read_ahead = 64UL * 1024;
// Bytes of responses that are written in one turn of the loop.
constexpr std::size_t max_bytes_per_write = 256UL * 1024;

} // namespace

caller_connection::caller_connection(event_loop& loop, int fd, caller_connection_options options,
                                     caller_connection_hooks hooks)
    : loop_(loop), options_(std::move(options)), hooks_(std::move(hooks)),
      bev_(bufferevent_socket_new(loop.base(), fd, BEV_OPT_CLOSE_ON_FREE)),
      reader_({.kind = message_kind::request,
               .max_head = static_cast<std::size_t>(options_.limits.head_bytes)},
              {.on_head = [this](message_head& head) { return on_head(head); },
               .on_body = [this](const char* buf, std::size_t n) { on_body(buf, n); }}),
      idle_since_(monotonic_now())
{
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    bufferevent_setcb(
        bev_,
        [](bufferevent*, void* arg) {
            auto& self = *static_cast<caller_connection*>(arg);
            if (!self.loop_.guard("request of a caller", [&] { self.on_readable(); })) {
                self.loop_.guard("end of a caller's connection", [&] { self.close(); });
            }
        },
        [](bufferevent*, void* arg) {
            auto& self = *static_cast<caller_connection*>(arg);
            self.idle_since_ = monotonic_now();
            self.flush_responses();
            if (self.bev_ != nullptr && !self.exchanges_.empty() &&
                self.exchanges_.front()->on_writable) {
                const auto front = self.exchanges_.front();
                front->on_writable();
            }
        },
        [](bufferevent*, short what, void* arg) {
            if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
                static_cast<caller_connection*>(arg)->close(
                    (what & BEV_EVENT_EOF) != 0 ? disconnect_cause::caller_gone
                                                : disconnect_cause::connection_reset);
            }
        },
        this);
    bufferevent_set_max_single_write(bev_, max_bytes_per_write);
    bufferevent_enable(bev_, EV_READ | EV_WRITE);
}

caller_connection::~caller_connection()
{
    hooks_.on_closed = nullptr;
    close();
}

// ---- requests

void caller_connection::on_readable()
{
    read_requests();
    report_usage();
}

void caller_connection::read_requests()
{
    while (bev_ != nullptr && !no_more_requests_) {
        if (exchanges_.size() >= options_.max_concurrent_requests) {
            pause_reading_if_full();
            return;
        }
        auto* in = bufferevent_get_input(bev_);
        if (evbuffer_get_length(in) == 0) {
            return;
        }
        if (!reader_.inside_message()) {
            head_started_ = monotonic_now();
        }
        const auto result = reader_.read(in);
        switch (result) {
        case read_result::need_more:
            return;
        case read_result::complete:
            on_request_end();
            break;
        case read_result::head_too_long:
            reject(http_status::head_too_large);
            return;
        case read_result::malformed:
            reject(http_status::bad_request);
            return;
        case read_result::unsupported:
            reject(http_status::not_implemented);
            return;
        }
    }
    if (bev_ != nullptr && no_more_requests_) {
        evbuffer_drain(bufferevent_get_input(bev_),
                       evbuffer_get_length(bufferevent_get_input(bev_)));
    }
}

void caller_connection::pause_reading_if_full()
{
    auto* in = bufferevent_get_input(bev_);
    if (evbuffer_get_length(in) > max_read_ahead && reading_) {
        reading_ = false;
        bufferevent_disable(bev_, EV_READ);
    }
}

bool caller_connection::on_head(message_head& head)
{
    receiving_ =
        std::make_shared<caller_exchange>(*this, options_.caller, std::move(head), monotonic_now());
    exchanges_.push_back(receiving_);
    const auto& it = receiving_->head;
    const bool too_large = it.length && *it.length > options_.limits.body_bytes;
    if (too_large) {
        // Treats the request as bodyless; the connection is closed after the 413 response.
        no_more_requests_ = true;
        receiving_->last_of_caller_ = false;
        unread_body_status_ = http_status::body_too_large;
        return true;
    }
    const bool has_body = it.chunked || it.length.value_or(0) > 0;
    if (has_body && hooks_.has_room && !hooks_.has_room()) {
        no_more_requests_ = true;
        receiving_->last_of_caller_ = false;
        unread_body_status_ = http_status::unavailable;
        return true;
    }
    const auto* expect = find_header(it.headers, "Expect");
    if (expect != nullptr && exchanges_.size() == 1) {
        constexpr std::string_view proceed = "HTTP/1.1 100 Continue\r\n\r\n";
        passed_bytes_ += proceed.size();
        bufferevent_write(bev_, proceed.data(), proceed.size());
    }
    return false;
}

void caller_connection::on_body(const char* buf, std::size_t n)
{
    if (no_more_requests_) {
        return;
    }
    if (receiving_->body.size() + n > options_.limits.body_bytes) {
        no_more_requests_ = true;
        receiving_->last_of_caller_ = false;
        receiving_->head.keep_alive = false;
        receiving_->started_ = true;
        std::string{}.swap(receiving_->body);
        receiving_->respond(http_status::body_too_large, {}, "body too large\n");
        return;
    }
    append_to_body(buf, n);
}

void caller_connection::on_request_end()
{
    const auto it = std::move(receiving_);
    receiving_ = nullptr;
    it->received_ = true;
    if (no_more_requests_ && !it->started_) {
        it->head.keep_alive = false;
        it->started_ = true;
        const bool no_room = unread_body_status_ == http_status::unavailable;
        it->respond(unread_body_status_,
                    no_room ? header_list{{"Retry-After", "1"}} : header_list{},
                    no_room ? "no memory for the body\n" : "body too large\n");
        return;
    }
    if (!it->head.keep_alive) {
        no_more_requests_ = true;
    }
    start_requests();
}

// After an invalid request the start of the next one is unknown, so the connection is closed.
void caller_connection::reject(int status, const header_list& headers)
{
    no_more_requests_ = true;
    auto it = receiving_;
    receiving_ = nullptr;
    if (!it) {
        it = std::make_shared<caller_exchange>(*this, options_.caller, message_head{},
                                               monotonic_now());
        exchanges_.push_back(it);
    }
    it->head.keep_alive = false;
    it->received_ = true;
    std::string{}.swap(it->body);
    if (!it->started_) {
        it->started_ = true;
        it->respond(status, headers, "request refused\n");
    }
}

// A request that must not run twice starts only after the responses before its own: if one of
// these closes the connection, the caller sends the request again. None is started behind a
// response that has begun: if that is truncated, nothing can be sent after it. A response to
// HTTP/1.0 may end with the connection.
void caller_connection::start_requests()
{
    bool all_idempotent = true;
    bool response_open = false;
    for (std::size_t i = 0; i < exchanges_.size(); ++i) {
        const auto it = exchanges_[i];
        if (!it->received_) {
            return;
        }
        const bool idempotent = it->head.version_1_1 && hooks_.may_run_concurrently(it->head);
        if (!it->started_ && i > 0 && !(all_idempotent && idempotent)) {
            return;
        }
        if (!it->started_ && response_open) {
            return;
        }
        response_open = response_open || (it->begun_ && (!it->ended_ || it->aborted_));
        all_idempotent = all_idempotent && idempotent;
        if (it->started_) {
            continue;
        }
        it->started_ = true;
        hooks_.on_request(it);
        if (bev_ == nullptr) {
            return;
        }
    }
}

// ---- responses

std::size_t caller_connection::buffered_bytes() const
{
    std::size_t n = bev_ == nullptr ? 0 : evbuffer_get_length(bufferevent_get_output(bev_));
    for (const auto& it : exchanges_) {
        n += evbuffer_get_length(it->out_);
    }
    return n;
}

std::size_t caller_connection::unsent_bytes() const
{
    return bev_ == nullptr ? 0 : buffered_bytes() + unacknowledged_bytes(bufferevent_getfd(bev_));
}

// A stopping host closes the connection after the last request that it has started, and reads no
// further ones. Callers send again what stands behind a response that closes the connection. When
// the response to the last one has begun, it is too late to say so there.
bool caller_connection::closes_after(const caller_exchange& it)
{
    if (!hooks_.stopping || !hooks_.stopping()) {
        return false;
    }
    const auto last_started = std::find_if(exchanges_.rbegin(), exchanges_.rend(),
                                           [](const auto& other) { return other->started_; });
    if (last_started == exchanges_.rend() || last_started->get() == &it) {
        return true;
    }
    no_more_requests_ = no_more_requests_ || !(*last_started)->begun_;
    return false;
}

bool caller_connection::started_behind(const caller_exchange& it) const
{
    const auto after = std::find_if(exchanges_.begin(), exchanges_.end(),
                                    [&](const auto& other) { return other.get() == &it; });
    return after != exchanges_.end() &&
           std::any_of(std::next(after), exchanges_.end(),
                       [](const auto& other) { return other->started_; });
}

void caller_connection::flush_responses()
{
    if (bev_ == nullptr || flushing_) {
        return;
    }
    flushing_ = true;
    while (bev_ != nullptr && !exchanges_.empty()) {
        const auto front = exchanges_.front();
        passed_bytes_ += evbuffer_get_length(front->out_);
        bufferevent_write_buffer(bev_, front->out_);
        if (!front->ended_) {
            break;
        }
        finish_first_exchange();
    }
    flushing_ = false;
    if (bev_ == nullptr || !closing_ || !exchanges_.empty()) {
        return;
    }
    // What is left of a truncated response is of no use, and the process may end before it is sent.
    if (reset_on_close_ || evbuffer_get_length(bufferevent_get_output(bev_)) == 0) {
        finish_sending();
    }
}

void caller_connection::finish_first_exchange()
{
    const auto front = exchanges_.front();
    // Only a reset shows the caller that a response is truncated if its end is the end of the
    // connection. Nothing is sent after a truncated response.
    reset_on_close_ = reset_on_close_ || (front->aborted_ && front->begun_ && !front->framed_);
    exchanges_.pop_front();
    front->connection_ = nullptr;
    idle_since_ = monotonic_now();
    if (front->close_after_ || front->aborted_ || closing_) {
        linger_ = front->close_after_ && !front->last_of_caller_ && !front->aborted_;
        no_more_requests_ = true;
        closing_ = true;
        const auto cause = front->aborted_ ? disconnect_cause::behind_truncated_response
                                           : disconnect_cause::behind_last_response;
        for (const auto& it : exchanges_) {
            it->disconnect(cause);
        }
        exchanges_.clear();
        return;
    }
    if (!reading_) {
        reading_ = true;
        if (!out_of_memory_) {
            bufferevent_enable(bev_, EV_READ);
        }
    }
    flushing_ = false;
    start_requests();
    if (bev_ != nullptr) {
        on_readable();
    }
    flushing_ = true;
}

} // namespace quincewing
