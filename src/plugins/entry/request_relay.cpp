#include "request_relay.hpp"

#include "answer_match.hpp"
#include "http_status.hpp"
#include "relay_protocol.hpp"
#include "request_properties.hpp"

#include "quincewing/base/hash.hpp"
#include "quincewing/logging/event_log.hpp"

#include <algorithm>
#include <event2/buffer.h>

namespace quincewing {

namespace {

// What other hosts may occupy here: beyond it they are told to try another one.
constexpr std::size_t max_relays = 256;
constexpr std::size_t max_bytes = 32UL * 1024 * 1024;
// A response that has begun is given this time beyond the caller's deadline.
constexpr seconds relay_grace{1};

} // namespace

/// A request of another host that is at a server.
struct request_relay::relay
{
    exchange_ptr request;
    backend_server server;
    std::unique_ptr<server_connection> connection;
    std::size_t bytes{};
    instant sent_at;
    bool head_sent{};
    /// The server states that it did not run the request.
    bool refused{};
    bool over{};

    [[nodiscard]] std::string id() const
    {
        const auto* it = find_header(request->request.headers, relay_protocol::request_id_header);
        return it == nullptr ? std::string{} : *it;
    }
};

request_relay::request_relay(host_context context, peers_task& peers, reach_task& reach,
                             server_connections& connections, request_relay_hooks hooks)
    : context_(std::move(context)), peers_(peers), reach_(reach), connections_(connections),
      hooks_(std::move(hooks)),
      taken_total_(context_.metrics.counter("quincewing_relayed_for_others_total"))
{
}

request_relay::~request_relay() = default;

void request_relay::tell_loss(const exchange_ptr& to, const char* why, bool sent)
{
    if (to->on_head) {
        to->on_head({.status = http_status::bad_gateway,
                     .verdict = sent ? verdict::unknown : verdict::not_run,
                     .loss = why});
    }
    if (to->on_end) {
        to->on_end(true);
    }
}

// Only a host that this one has found in the store and reached there may hand requests over.
bool request_relay::may_take(const exchange& it) const
{
    const bool known = !it.peer.value.empty() && peers_.connected(it.peer);
    const bool room = relays_.size() < max_relays && bytes_ + it.request.body.size() < max_bytes;
    return known && room && hooks_.may_start() && it.request.target == relay_protocol::path;
}

bool request_relay::still_usable(const backend_server& server) const
{
    const auto* now = context_.view.find_usable_server(server.id);
    return now != nullptr && now->start == server.start &&
           context_.view.conditions().rest_left(monotonic_now(), *now) <= duration{0};
}

duration request_relay::max_idle_of(const exchange& it) const
{
    return it.request.idempotent ? duration{seconds{3600}} : context_.settings.fresh_connection;
}

void request_relay::on_request(const exchange_ptr& it)
{
    const auto* server = context_.view.find_usable_server(it->server);
    if (!may_take(*it) || server == nullptr || !still_usable(*server)) {
        tell_loss(it, to_string(connection_loss::withdrawn), false);
        return;
    }
    if (!reach_.reaches(*server, max_idle_of(*it))) {
        tell_loss(it, to_string(connection_loss::not_connected), false);
        return;
    }
    ++taken_total_;
    const auto added = std::make_shared<relay>();
    added->request = it;
    added->server = *server;
    added->bytes = it->request.body.size();
    bytes_ += added->bytes;
    relays_.push_back(added);
    send(added);
}

void request_relay::send(const relay_ptr& it)
{
    const std::weak_ptr<relay> weak = it;
    it->request->abort = [this, weak] {
        if (const auto relay = weak.lock()) {
            on_given_up(*relay);
        }
    };
    it->request->resume = [weak] {
        if (const auto relay = weak.lock(); relay && relay->connection) {
            relay->connection->set_reading(true);
        }
    };
    it->sent_at = monotonic_now();
    it->connection =
        connections_.acquire(it->server.address, max_idle_of(*it->request), stable_hash(it->id()));
    it->connection->set_unacknowledged_timeout(
        server_connections::silence_timeout(it->request->request.idempotent, it->bytes));
    auto* raw = it.get();
    const auto bytes = std::move(it->request->request.body);
    it->connection->send(
        bytes, "", it->request->request.method != "HEAD",
        {.may_send =
             [this, raw] {
                 reach_.on_connected(raw->server);
                 return still_usable(raw->server);
             },
         .on_sent = [] {},
         .on_head = [this, raw](message_head& head) { return on_head(*raw, head); },
         .on_body = [this, raw](const char* buf, std::size_t n) { on_body(*raw, buf, n); },
         .on_end = [this, raw](bool reusable) { on_end(*raw, reusable); },
         .on_lost = [this, raw](connection_loss how) { on_lost(*raw, how); }});
}

bool request_relay::answers(const relay& it, const message_head& head) const
{
    const auto* answered = find_header(head.headers, context_.platform.names.request_id);
    const auto id = it.id();
    const bool own =
        match_answer(id, answered, it.connection->first_request()) == answer_match::own;
    if (!own) {
        const bool has_id = answered != nullptr && !answered->empty();
        log_event(has_id ? "answer_of_another" : "answer_without_id",
                  {{"request", id},
                   {"answer", has_id ? *answered : ""},
                   {"status", head.status},
                   {"server", it.server.id.value},
                   {"for_host", it.request->peer.value}});
    }
    return own;
}

head_action request_relay::on_head(relay& it, message_head& head)
{
    reach_.on_answer(it.server.service);
    const auto notice = context_.platform.decode_notice(head);
    if (!answers(it, head)) {
        hooks_.on_notice(it.server, {}, notice);
        return head_action::skip;
    }
    if (is_unproven_success(head, context_.platform.names.response_signature)) {
        log_event("answer_unproven", {{"request", it.id()},
                                      {"status", head.status},
                                      {"server", it.server.id.value},
                                      {"for_host", it.request->peer.value}});
        hooks_.on_notice(it.server, {}, notice);
        return head_action::reject;
    }
    const bool certainly_its_own = head.status != http_status::misdirected;
    hooks_.on_notice(it.server, certainly_its_own ? it.sent_at : instant{}, notice);
    it.refused = find_header(head.headers, context_.platform.names.not_run) != nullptr ||
                 head.status == http_status::misdirected;
    response_head out{.status = head.status, .length = head.length};
    const auto* connection = find_header(head.headers, "Connection");
    for (const auto& [name, value] : head.headers) {
        if (connection == nullptr || !has_token(*connection, name)) {
            out.headers.emplace_back(name, value);
        }
    }
    it.head_sent = true;
    if (it.request->on_head) {
        it.request->on_head(out);
    }
    return head_action::accept;
}

void request_relay::on_body(relay& it, const char* buf, std::size_t n)
{
    if (!it.request->on_body) {
        return;
    }
    auto* data = evbuffer_new();
    evbuffer_add(data, buf, n);
    if (!it.request->on_body(data)) {
        it.connection->set_reading(false);
    }
    evbuffer_free(data);
}

void request_relay::on_end(relay& it, bool reusable)
{
    const auto& request = it.request->request;
    if (it.refused && !request.idempotent) {
        it.connection->refused.add(stable_hash(it.id()), monotonic_now(),
                                   request.deadline + relay_grace);
    }
    if (reusable) {
        connections_.release(std::move(it.connection));
    }
    if (it.request->on_end) {
        it.request->on_end(true);
    }
    end(it);
}

void request_relay::on_lost(relay& it, connection_loss how)
{
    const bool sent = it.connection->sent();
    if (how == connection_loss::refused || how == connection_loss::not_connected) {
        reach_.on_connect_failed(it.server, it.sent_at);
    } else if (how == connection_loss::reset || how == connection_loss::closed) {
        reach_.on_broken(it.server, it.sent_at);
    }
    log_event("server_lost", {{"server", it.server.id.value},
                              {"how", to_string(how)},
                              {"sent", sent ? "yes" : "no"},
                              {"for_host", it.request->peer.value},
                              {"took", monotonic_now() - it.sent_at}});
    if (!it.head_sent) {
        tell_loss(it.request, to_string(how), sent);
    } else if (it.request->on_end) {
        it.request->on_end(false);
    }
    end(it);
}

// A request that must run at most once is left to finish when the other host is gone, because a
// cancelled run would have an unknown outcome.
void request_relay::on_given_up(relay& it)
{
    const bool sent = it.connection && it.connection->sent();
    if (it.request->peer_lost && !it.request->request.idempotent && sent) {
        // The other host may have been too slow for the response.
        it.connection->set_reading(true);
        return;
    }
    cancel(it);
}

void request_relay::cancel(relay& it)
{
    if (it.connection) {
        it.connection->abort();
    }
    end(it);
}

void request_relay::end(relay& it)
{
    if (it.over) {
        return;
    }
    it.over = true;
    bytes_ -= it.bytes;
    if (it.connection) {
        connections_.discard(std::move(it.connection));
    }
}

void request_relay::tick(instant now)
{
    for (const auto& it : relays_) {
        const bool sent = it->connection && it->connection->sent();
        // The other host answers its caller soon after the deadline, and without this would not
        // know that the request has not run.
        const auto grace = sent ? duration{relay_grace} : duration{0};
        if (!it->over && now > it->request->request.deadline + grace) {
            const auto request = it->request;
            const bool begun = it->head_sent;
            cancel(*it);
            if (!begun) {
                tell_loss(request,
                          to_string(sent ? connection_loss::host_lost : connection_loss::withdrawn),
                          sent);
            } else if (request->on_end) {
                request->on_end(false);
            }
        }
    }
    std::erase_if(relays_, [](const auto& it) { return it->over; });
}

} // namespace quincewing
