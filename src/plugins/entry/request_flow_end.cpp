#include "request_flow.hpp"

#include "http_status.hpp"

#include "quincewing/logging/event_log.hpp"

#include <utility>

/// request_flow: timeout, the caller's leaving, and the response that ends a request.
namespace quincewing {

namespace {

// Another host can take a request that a stopping host refuses.
constexpr millis retry_after_stop{0};

std::string seconds_text(duration it)
{
    auto text = std::to_string(static_cast<double>(it.count()) / 1e6);
    return text.substr(0, text.find('.') + 4);
}

} // namespace

void request_flow::on_timeout()
{
    const auto self = shared_from_this();
    if (stage_ == stage::waiting_for_configuration) {
        find_route();
        return;
    }
    if (stage_ == stage::waiting_for_owner) {
        end_unserved("no_owner", retry_after_key_move);
        return;
    }
    if (relaying_) {
        end_overlong_response();
        return;
    }
    const bool at_server = stage_ == stage::at_server;
    const auto left = time_left() + response_grace;
    if (at_server && left > duration{0}) {
        timer_.once(left);
        return;
    }
    if (auto* it = channel()) {
        it->abort();
    }
    leave_server(at_server ? attempt_outcome::failed : attempt_outcome::unused, false);
    if (verdict_ == verdict::not_run) {
        refuse("timeout", millis{50});
        return;
    }
    fail(http_status::gateway_timeout, "timeout");
}

// A response that has begun is delivered in full even after the deadline, but a server may send
// without end.
void request_flow::end_overlong_response()
{
    const auto left = caller_deadline_ + relay_grace - monotonic_now();
    if (left > duration{0}) {
        timer_.once(left);
        return;
    }
    log_event("answer_without_end", {{"request", id_}, {"server", server_.id.value}});
    if (auto* it = channel()) {
        it->abort();
    }
    leave_server(attempt_outcome::failed, false);
    exchange_->abort();
    finish(response_.status, "answer_without_end");
}

// A request that was sent once may have run, although it is at no server now.
void request_flow::refuse_unsent()
{
    const auto self = shared_from_this();
    end_unserved("host_stops", retry_after_stop);
}

void request_flow::give_up()
{
    const auto self = shared_from_this();
    if (auto* it = channel()) {
        it->abort();
    }
    leave_server(attempt_outcome::unused, false);
    if (relaying_) {
        exchange_->abort();
        finish(response_.status, "host_stops");
        return;
    }
    refuse_unsent();
}

// An idempotent request is cancelled by closing the connection to the server. One that must run at
// most once is left to finish once it was sent, because a cancelled run would have an unknown
// outcome.
void request_flow::on_caller_disconnect()
{
    const auto self = shared_from_this();
    const bool sent = channel() != nullptr && channel()->sent();
    if (stage_ == stage::at_server && !idempotent() && sent) {
        // The caller may have been too slow for the response.
        channel()->set_reading(true);
        return;
    }
    if (auto* it = channel()) {
        it->abort();
    }
    leave_server(attempt_outcome::unused, false);
    finish(0, to_string(exchange_->disconnect_cause()));
}

void request_flow::refuse(const char* reason, duration retry_after)
{
    exchange_->respond(http_status::unavailable, {{"Retry-After", seconds_text(retry_after)}},
                       "not run\n");
    finish(http_status::unavailable, reason);
}

void request_flow::fail(int status, const char* reason)
{
    exchange_->respond(status, {}, std::string{reason} + "\n");
    finish(status, reason);
}

void request_flow::finish(int status, const char* reason)
{
    if (ended_) {
        return;
    }
    services_.ends.add(
        {.reason = reason, .at_server = stage_ == stage::at_server, .status = status});
    ended_ = true;
    stage_ = stage::ended;
    timer_.cancel();
    exchange_->on_disconnect = nullptr;
    exchange_->on_writable = nullptr;
    if (slot_number_ != 0) {
        services_.dispatch.release_slot(std::exchange(slot_number_, 0),
                                        {.outcome = attempt_outcome::unused});
    }
    const auto took = monotonic_now() - exchange_->arrived;
    const bool good = status >= 200 && status < 300;
    const auto& route = route_ ? route_->route.name : std::string{"none"};
    ++context_.metrics.counter("quincewing_requests_total",
                               {{"route", route}, {"reason", good ? "answered" : reason}});
    context_.metrics.times("quincewing_request_seconds", {{"route", route}})
        .add(static_cast<double>(took.count()) / 1e6);
    log_event(good ? "answered" : "not_served", {{"request", id_},
                                                 {"route", route},
                                                 {"service", service_.value},
                                                 {"version", version_.value},
                                                 {"server", server_.id.value},
                                                 {"sends", history_.sends()},
                                                 {"status", status},
                                                 {"reason", reason},
                                                 {"verdict", to_string(verdict_)},
                                                 {"waited", first_sent_at_ - exchange_->arrived},
                                                 {"took", took}});
}

} // namespace quincewing
