#include "request_flow.hpp"

#include "quincewing/base/hash.hpp"

#include <algorithm>
#include <strings.h>
#include <utility>

/// request_flow: one send to a backend server, from here or by way of another host.
namespace quincewing {

namespace {

// Retry-After value: another host may reach the server.
constexpr millis retry_after_unreachable{300};

} // namespace

std::string request_flow::server_request_head() const
{
    const auto& head = exchange_->head;
    const auto& names = context_.platform.names;
    const auto* connection = find_header(head.headers, "Connection");
    std::string out = head.method + " " + head.target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : head.headers) {
        const bool is_host = strcasecmp(name.c_str(), "Host") == 0;
        const bool replaced = strcasecmp(name.c_str(), names.time_left.c_str()) == 0 ||
                              strcasecmp(name.c_str(), names.target_server.c_str()) == 0;
        const bool connection_option = connection != nullptr && has_token(*connection, name);
        if (is_host || !(is_hop_by_hop_header(name) || replaced || connection_option)) {
            out += name;
            out += ": ";
            out += value;
            out += "\r\n";
        }
    }
    const auto ms = std::max<duration::rep>(time_left() / millis{1}, 1);
    out += names.time_left + ": " + std::to_string(ms) + "\r\n";
    out += names.target_server + ": " + server_.id.value + "\r\n";
    if (!exchange_->body.empty() || head.length || head.chunked) {
        out += "Content-Length: " + std::to_string(exchange_->body.size()) + "\r\n";
    }
    return out + "\r\n";
}

void request_flow::send()
{
    stage_ = stage::at_server;
    if (history_.sends() == 0) {
        first_sent_at_ = monotonic_now();
    }
    history_.on_send(server_.id);
    relays_tried_.clear();
    verdict_before_send_ = verdict_;
    auto& reach = services_.reach;
    if (reach.reaches(server_, max_idle()) || reach.take_trial(service_, idempotent())) {
        send_directly();
    } else if (!send_by_relay()) {
        leave_unreachable("unreachable");
    }
}

duration request_flow::max_idle() const
{
    return idempotent() ? duration{seconds{3600}} : context_.settings.fresh_connection;
}

server_channel* request_flow::channel() const
{
    return connection_ ? static_cast<server_channel*>(connection_.get()) : relayed_.get();
}

server_channel_hooks request_flow::channel_hooks()
{
    sent_at_ = monotonic_now();
    response_ = {};
    buffered_body_.clear();
    report_ = {.lost_by_other = report_.lost_by_other};
    timer_.once(std::max<duration>(time_left() + response_grace, millis{1}));
    return {.may_send =
                [this] {
                    services_.reach.on_connected(server_);
                    return services_.may_start_requests() && server_still_usable();
                },
            .on_sent = [this] { on_sent(); },
            .on_head = [this](message_head& head) { return on_head(head); },
            .on_body = [this](const char* buf, std::size_t n) { on_body(buf, n); },
            .on_end = [this](bool reusable) { on_end(reusable); },
            .on_lost = [this](connection_loss how) { on_lost(how); }};
}

bool request_flow::may_repeat_after_silence() const
{
    return idempotent() && !exchange_->host_stops();
}

duration request_flow::silence_timeout() const
{
    return server_connections::silence_timeout(may_repeat_after_silence(), exchange_->body.size());
}

void request_flow::on_host_stops()
{
    if (connection_) {
        connection_->set_unacknowledged_timeout(silence_timeout());
    }
}

void request_flow::send_directly()
{
    report_ = {};
    connection_ = services_.connections.acquire(server_.address, max_idle(), stable_hash(id_));
    connection_->set_unacknowledged_timeout(silence_timeout());
    connection_->send(server_request_head(), exchange_->body, exchange_->head.method != "HEAD",
                      channel_hooks());
}

bool request_flow::send_by_relay()
{
    const auto relay_host = relays_tried_.size() < max_relay_hosts
                                ? services_.reach.choose_relay_host(service_, relays_tried_)
                                : std::nullopt;
    if (!relay_host) {
        services_.relays.add("no_host");
        return false;
    }
    relays_tried_.insert(*relay_host);
    relayed_ = std::make_shared<relayed_request>(
        relayed_request_options{
            .relay_host = *relay_host,
            .server = server_.id,
            .method = exchange_->head.method,
            .bytes = server_request_head() + exchange_->body,
            .request_id = id_,
            .idempotent = idempotent(),
            .deadline = monotonic_now() + time_left(),
            .outlasts_silence = [this] { return relaying_ || !may_repeat_after_silence(); }},
        channel_hooks());
    ++context_.metrics.counter("quincewing_relayed_total");
    const auto keep = relayed_;
    keep->start(services_.peers);
    return true;
}

// Without a key another server may do. Otherwise no host that this one knows reaches the server, so
// waiting is of no use.
void request_flow::leave_unreachable(const char* why)
{
    const bool cut = services_.reach.cut_off(service_);
    leave_server(cut ? attempt_outcome::host_cut_off : attempt_outcome::connection_lost, false);
    if (cut || key_) {
        end_unserved("unreachable", retry_after_unreachable);
    } else {
        retry(why, false);
    }
}

void request_flow::note_not_sent()
{
    verdict_ = verdict_before_send_;
    if (verdict_ == verdict::not_run) {
        history_.on_not_run(server_.id);
    }
}

// The slot and the server stay: another host is tried, which is one send for the caller and for
// the limits of repeats.
void request_flow::on_not_sent(connection_loss how)
{
    note_not_sent();
    if (connection_) {
        services_.connections.discard(std::move(connection_));
    }
    if (relayed_) {
        report_.lost_by_other =
            how == connection_loss::withdrawn ? report_.lost_by_other : relayed_->relay_host();
        relayed_.reset();
    }
    if (exchange_->disconnected()) {
        leave_server(attempt_outcome::unused, false);
        finish(0, to_string(exchange_->disconnect_cause()));
        return;
    }
    if (!services_.may_start_requests()) {
        leave_server(attempt_outcome::unused, false);
        refuse_unsent();
        return;
    }
    if (server_still_usable() && time_left() > millis{20} && send_by_relay()) {
        return;
    }
    leave_unreachable(to_string(how));
}

} // namespace quincewing
