#include "relayed_request.hpp"

#include "relay_protocol.hpp"

#include <event2/buffer.h>
#include <utility>

namespace quincewing {

relayed_request::relayed_request(relayed_request_options options, server_channel_hooks hooks)
    : options_(std::move(options)), hooks_(std::move(hooks)),
      exchange_(std::make_shared<exchange>())
{
}

relayed_request::~relayed_request()
{
    abort();
}

// The exchange may outlive this object, and its hooks are called inside those of the link.
void relayed_request::start(peers_task& peers)
{
    auto& request = exchange_->request;
    request.method = options_.method;
    request.target = relay_protocol::path;
    request.headers = {{relay_protocol::request_id_header, options_.request_id}};
    request.body = std::move(options_.bytes);
    request.idempotent = options_.idempotent;
    request.deadline = options_.deadline;
    exchange_->server = options_.server;
    const auto self = weak_from_this();
    exchange_->on_head = [self](const response_head& head) {
        if (const auto it = self.lock()) {
            it->on_head(head);
        }
    };
    exchange_->on_body = [self](evbuffer* data) {
        const auto it = self.lock();
        return !it || it->on_body(data);
    };
    exchange_->on_end = [self](bool complete) {
        if (const auto it = self.lock()) {
            it->on_end(complete);
        }
    };
    sent_ = true;
    hooks_.on_sent();
    peers.forward(options_.relay_host, exchange_,
                  {.failed =
                       [self](const forward_failure& failure) {
                           if (const auto it = self.lock()) {
                               it->on_failed(failure);
                           }
                       },
                   .outlasts_silence =
                       [self] {
                           const auto it = self.lock();
                           return it && it->options_.outlasts_silence();
                       }});
}

void relayed_request::on_failed(const forward_failure& failure)
{
    sent_ = failure.handed_over;
    lose(sent_ ? connection_loss::host_lost : connection_loss::not_connected);
}

void relayed_request::on_head(const response_head& head)
{
    if (over_) {
        return;
    }
    if (!head.loss.empty()) {
        sent_ = head.verdict != verdict::not_run;
        lose(relay_protocol::loss_of(head.loss));
        return;
    }
    message_head out;
    out.status = head.status;
    out.headers = head.headers;
    out.length = head.length;
    switch (hooks_.on_head(out)) {
    case head_action::accept:
        return;
    case head_action::skip:
        lose(connection_loss::malformed);
        return;
    case head_action::reject:
        lose(connection_loss::unproven);
        return;
    }
}

bool relayed_request::on_body(evbuffer* data)
{
    if (over_) {
        return true;
    }
    const auto n = evbuffer_get_length(data);
    body_bytes_ += n;
    if (body_limit_ && body_bytes_ > *body_limit_) {
        lose(connection_loss::too_long);
        return true;
    }
    hooks_.on_body(reinterpret_cast<const char*>(evbuffer_pullup(data, -1)), n);
    return reading_;
}

void relayed_request::on_end(bool complete)
{
    if (over_) {
        return;
    }
    if (!complete) {
        lose(connection_loss::host_lost);
        return;
    }
    over_ = true;
    hooks_.on_end(false);
}

void relayed_request::lose(connection_loss how)
{
    if (over_) {
        return;
    }
    const auto self = shared_from_this();
    abort();
    hooks_.on_lost(how);
}

void relayed_request::set_reading(bool on)
{
    reading_ = on;
    if (on && exchange_->resume) {
        exchange_->resume();
    }
}

void relayed_request::abort()
{
    if (!std::exchange(over_, true) && exchange_->abort) {
        exchange_->abort();
    }
}

} // namespace quincewing
