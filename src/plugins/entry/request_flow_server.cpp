#include "request_flow.hpp"

#include "answer_match.hpp"
#include "crash_exchange.hpp"
#include "http_status.hpp"
#include "request_properties.hpp"

#include "quincewing/base/hash.hpp"
#include "quincewing/logging/event_log.hpp"

#include <algorithm>
#include <strings.h>
#include <utility>

/// request_flow: the response of a backend server.
namespace quincewing {

namespace {

// Weight of a new value in the moving average of response sizes.
constexpr double response_size_weight = 0.1;

attempt_outcome outcome_of(connection_loss how, bool cut)
{
    // The server is reachable, and its answer is none.
    if (how == connection_loss::unproven || how == connection_loss::malformed) {
        return attempt_outcome::failed;
    }
    return cut ? attempt_outcome::host_cut_off : attempt_outcome::connection_lost;
}

} // namespace

void request_flow::on_sent()
{
    verdict_ = verdict::unknown;
    history_.on_sent(server_.id);
}

// While the connection was being established, the server may have announced that it stops, asked
// this host for rest, or been replaced by a new process.
bool request_flow::server_still_usable() const
{
    const auto* now = context_.view.find_usable_server(server_.id);
    return now != nullptr && now->start == server_.start &&
           context_.view.conditions().rest_left(monotonic_now(), *now) <= duration{0};
}

const host_id& request_flow::way() const
{
    return relayed_ ? relayed_->relay_host() : context_.self;
}

void request_flow::note_broken(duration ran_for)
{
    services_.crashes.on_broken({.fingerprint = fingerprint_,
                                 .process = process_of(server_),
                                 .way = way(),
                                 .at = monotonic_now(),
                                 .ran_for = ran_for});
    log_event("crash_suspected", {{"contents", fingerprint_},
                                  {"server", server_.id.value},
                                  {"way", relayed_ ? "relay" : "own"}});
}

// A server may write an answer to an earlier request once more, where the answer to this one is
// due. What another host's connection carried before is not known here.
bool request_flow::answers_this(const message_head& head) const
{
    const auto* answered = find_header(head.headers, context_.platform.names.request_id);
    const bool first = connection_ && connection_->first_request();
    switch (match_answer(id_, answered, first)) {
    case answer_match::own:
        return true;
    case answer_match::of_another:
        log_event("answer_of_another",
                  {{"request", id_}, {"answer", *answered}, {"server", server_.id.value}});
        return false;
    case answer_match::without_id:
        log_event("answer_without_id",
                  {{"request", id_}, {"status", head.status}, {"server", server_.id.value}});
        return false;
    }
    return false;
}

head_action request_flow::on_head(message_head& head)
{
    if (connection_) {
        services_.reach.on_answer(service_);
    }
    if (!answers_this(head)) {
        services_.on_notice(server_, {}, context_.platform.decode_notice(head));
        return head_action::skip;
    }
    if (is_unproven_success(head, context_.platform.names.response_signature)) {
        log_event("answer_unproven",
                  {{"request", id_}, {"status", head.status}, {"server", server_.id.value}});
        services_.on_notice(server_, {}, context_.platform.decode_notice(head));
        return head_action::reject;
    }
    response_ = std::move(head);
    // Another process at the address answers 421 too.
    const bool certainly_its_own = response_.status != http_status::misdirected;
    auto notice = context_.platform.decode_notice(response_);
    if (relayed_) {
        services_.relays.add("answered");
        // The server asked the host that it got the request from.
        notice.rest.reset();
    }
    services_.on_notice(server_, certainly_its_own ? sent_at_ : instant{}, notice);
    report_.running = notice.running;
    report_.waiting = notice.waiting;
    report_.slowness = notice.slowness;
    const bool marked_not_run =
        find_header(response_.headers, context_.platform.names.not_run) != nullptr;
    if (marked_not_run || response_.status == http_status::misdirected) {
        report_.outcome = attempt_outcome::rejected;
        channel()->set_body_limit(max_ignored_body);
        return head_action::accept;
    }
    report_.outcome = response_.status >= http_status::server_error ? attempt_outcome::failed
                                                                    : attempt_outcome::answered;
    on_response_size(response_.length.value_or(0));
    const bool others_behind = exchange_->others_behind();
    const bool buffer_first =
        others_behind ||
        (idempotent() && (!response_.length || *response_.length <= max_held_response()));
    if (others_behind && response_.length.value_or(0) > max_held_response()) {
        // The announced length is too long to hold: fail at the first byte of the body.
        channel()->set_body_limit(0);
    }
    const bool may_retry =
        report_.outcome == attempt_outcome::failed && may_retry_failed_response();
    if (!buffer_first && !may_retry) {
        begin_response();
    }
    return head_action::accept;
}

void request_flow::read_response()
{
    const auto self = shared_from_this();
    while (connection_ && !ended_ && !exchange_->begun() && connection_->read_waiting()) {
    }
}

// Nothing can be sent after a response that has begun and breaks off, so one with requests behind
// it that are at servers begins when it is complete.
std::size_t request_flow::max_held_response() const
{
    return exchange_->others_behind()
               ? std::max<std::size_t>(max_small_response(),
                                       max_held_buffers * context_.settings.answer_buffer)
               : context_.settings.held_answer;
}

std::size_t request_flow::max_small_response() const
{
    return std::max(context_.settings.held_answer, context_.settings.answer_buffer);
}

void request_flow::on_response_size(std::uint64_t bytes)
{
    if (bytes > max_small_response()) {
        services_.large.note(monotonic_now(), route_->route.name);
    }
}

void request_flow::begin_response()
{
    relaying_ = true;
    header_list headers;
    const auto& names = context_.platform.names;
    const auto* connection = find_header(response_.headers, "Connection");
    auto status = response_.status;
    const bool implies_not_run = status == http_status::unavailable ||
                                 status == http_status::too_many_requests ||
                                 status == http_status::request_timeout;
    // To callers these statuses mean that the request did not run, which the server did not state.
    const bool replaced = implies_not_run && !idempotent();
    if (replaced) {
        status = http_status::bad_gateway;
    }
    for (const auto& [name, value] : response_.headers) {
        const bool is_response_signature =
            strcasecmp(name.c_str(), names.response_signature.c_str()) == 0;
        const bool connection_option = connection != nullptr && has_token(*connection, name);
        if (!is_hop_by_hop_header(name) && !connection_option &&
            !(replaced && is_response_signature)) {
            headers.emplace_back(name, value);
        }
    }
    exchange_->on_writable = [this] {
        if (auto* from = channel()) {
            from->set_reading(true);
        }
    };
    exchange_->begin(status, headers, response_.length);
    flush_buffered_body();
}

void request_flow::flush_buffered_body()
{
    if (buffered_body_.empty()) {
        return;
    }
    const auto data = std::move(buffered_body_);
    buffered_body_.clear();
    auto* from = channel();
    if (!exchange_->write(data.data(), data.size()) && from != nullptr) {
        from->set_reading(false);
    }
}

void request_flow::on_body(const char* buf, std::size_t n)
{
    if (relaying_) {
        auto* from = channel();
        if (!exchange_->write(buf, n) && from != nullptr) {
            from->set_reading(false);
        }
        return;
    }
    if (report_.outcome == attempt_outcome::rejected) {
        return;
    }
    buffered_body_.append(buf, n);
    on_response_size(buffered_body_.size());
    if (buffered_body_.size() <= max_held_response()) {
        return;
    }
    if (exchange_->others_behind()) {
        channel()->set_body_limit(max_held_response());
        return;
    }
    begin_response();
}

void request_flow::on_end(bool reusable)
{
    const auto self = shared_from_this();
    const auto now = monotonic_now();
    const auto outcome = report_.outcome;
    report_.took = static_cast<std::uint64_t>((now - sent_at_).count());
    if (outcome == attempt_outcome::answered) {
        services_.record_service_time(server_.id, now - sent_at_, report_.slowness);
        auto& size = services_.response_sizes[route_->route.name];
        const auto bytes = static_cast<double>(response_.length.value_or(buffered_body_.size()));
        size += response_size_weight * (bytes - size);
    }
    // A server's error may end a run that would have crashed it.
    if (outcome == attempt_outcome::answered) {
        services_.crashes.on_request_answered(fingerprint_);
    }
    if (response_.status != http_status::misdirected) {
        services_.crashes.on_answer(way(), process_of(server_), sent_at_);
    }
    if (connection_ && outcome == attempt_outcome::rejected && !idempotent()) {
        connection_->refused.add(stable_hash(id_), now, deadline_ + response_grace);
    }
    leave_server(outcome, reusable);
    if (exchange_->disconnected()) {
        finish(0, to_string(exchange_->disconnect_cause()));
        return;
    }
    if (outcome == attempt_outcome::rejected) {
        // An earlier send may have run.
        verdict_ = verdict_before_send_;
        history_.on_not_run(server_.id);
        if (response_.status == http_status::misdirected && key_ &&
            ++owner_misses_ <= max_owner_misses) {
            history_.forget(server_.id);
        }
        retry("turned_away", true);
        return;
    }
    verdict_ = verdict::ran;
    if (!relaying_ && outcome == attempt_outcome::failed && may_retry_failed_response() &&
        services_.budget(service_).try_spend(now, services_.host_count())) {
        retry("server_failed", false);
        return;
    }
    if (!relaying_) {
        if (!response_.length) {
            response_.length = buffered_body_.size();
        }
        begin_response();
    }
    exchange_->end();
    finish(response_.status, "answered");
}

void request_flow::on_lost(connection_loss how)
{
    const auto self = shared_from_this();
    if (how == connection_loss::too_long && report_.outcome == attempt_outcome::rejected) {
        on_end(false);
        return;
    }
    if (how == connection_loss::too_long) {
        end_unheld_response();
        return;
    }
    const bool sent = channel() != nullptr && channel()->sent();
    const auto took = monotonic_now() - sent_at_;
    report_.took = static_cast<std::uint64_t>(took.count());
    log_event("server_lost", {{"request", id_},
                              {"server", server_.id.value},
                              {"how", to_string(how)},
                              {"sent", sent ? "yes" : "no"},
                              {"relay_host", relayed_ ? relayed_->relay_host().value : ""},
                              {"contents", fingerprint_},
                              {"caller", exchange_->caller},
                              {"took", took}});
    if (relayed_) {
        services_.relays.add(to_string(how));
        if (!sent && how != connection_loss::withdrawn) {
            services_.reach.on_relay_failed(relayed_->relay_host(), service_);
        }
    }
    const bool not_connected =
        how == connection_loss::refused || how == connection_loss::not_connected;
    if (connection_ && not_connected) {
        services_.reach.on_connect_failed(server_, sent_at_);
    } else if (connection_ && (how == connection_loss::reset || how == connection_loss::closed)) {
        services_.reach.on_broken(server_, sent_at_);
    }
    if (!sent && (not_connected || relayed_)) {
        on_not_sent(how);
        return;
    }
    if (!sent) {
        note_not_sent();
    }
    const bool cut = services_.reach.cut_off(service_) || how == connection_loss::host_lost;
    if (sent && (how == connection_loss::closed || how == connection_loss::reset)) {
        note_broken(took);
    }
    leave_server(outcome_of(how, cut), false);
    if (exchange_->disconnected()) {
        finish(0, to_string(exchange_->disconnect_cause()));
        return;
    }
    if (relaying_) {
        exchange_->abort();
        finish(response_.status, "answer_broke_off");
        return;
    }
    if (!sent || idempotent()) {
        retry(to_string(how), sent);
        return;
    }
    fail(http_status::bad_gateway, to_string(how));
}

// The caller may repeat the request: the next one of its route has nothing sent behind it.
void request_flow::end_unheld_response()
{
    verdict_ = verdict::ran;
    leave_server(report_.outcome, false);
    if (exchange_->disconnected()) {
        finish(0, to_string(exchange_->disconnect_cause()));
        return;
    }
    fail(http_status::bad_gateway, "answer_too_large_to_hold");
}

void request_flow::leave_server(attempt_outcome outcome, bool reusable)
{
    report_.outcome = outcome;
    if (slot_number_ != 0) {
        services_.dispatch.release_slot(std::exchange(slot_number_, 0), report_);
    }
    relayed_.reset();
    if (!connection_) {
        return;
    }
    if (reusable) {
        services_.connections.release(std::move(connection_));
    } else {
        services_.connections.discard(std::move(connection_));
    }
    connection_ = nullptr;
}

// ---- retries

bool request_flow::may_retry_failed_response() const
{
    const bool in_time = time_left() > millis{20};
    return idempotent() && history_.servers_left() && in_time && !exchange_->disconnected() &&
           !key_ && services_.may_start_requests();
}

void request_flow::retry(const char* why, bool uses_budget)
{
    if (!services_.may_start_requests()) {
        refuse_unsent();
        return;
    }
    if (owner_rest_left() > duration{0}) {
        end_since_owner_rests();
        return;
    }
    const bool attempts_left = history_.may_send_again();
    const bool in_time = time_left() > millis{20};
    const bool within_budget = attempts_left && in_time &&
                               (!uses_budget || services_.budget(service_).try_spend(
                                                    monotonic_now(), services_.host_count()));
    log_event("again", {{"request", id_},
                        {"server", server_.id.value},
                        {"why", why},
                        {"sends", history_.sends()},
                        {"left", time_left()},
                        {"allowed", attempts_left && in_time && within_budget ? "yes" : "no"}});
    if (!attempts_left || !in_time || !within_budget) {
        end_unserved(why, millis{150});
        return;
    }
    find_server();
}

} // namespace quincewing
