#include "request_flow.hpp"

#include "quincewing/admission/request_fingerprint.hpp"
#include "quincewing/base/hash.hpp"
#include "quincewing/logging/event_log.hpp"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <strings.h>
#include <utility>

namespace quincewing {

namespace {

constexpr int not_found = 404;
constexpr int request_timeout = 408;
constexpr int misdirected = 421;
constexpr int too_many_requests = 429;
constexpr int server_error = 500;
constexpr int bad_gateway = 502;
constexpr int unavailable = 503;
constexpr int gateway_timeout = 504;

// Added to the deadline, since a response that was sent just before it may be in flight.
constexpr millis response_grace{80};
// Retry-After values: a lost owner is replaced within seconds, keys that move have their new
// owner within a fraction of a second.
constexpr seconds retry_after_owner_lost{1};
constexpr millis retry_after_key_move{200};
// Another host can take a request that a stopping host refuses.
constexpr millis retry_after_stop{0};
// Times that a request is sent on to another owner of its key.
constexpr int max_owner_misses = 3;
// For requests without a deadline header.
constexpr seconds default_deadline{30};
// Weight of a new value in the moving average of response sizes.
constexpr double response_size_weight = 0.1;

std::optional<std::int64_t> integer_header(const header_list& headers, const std::string& name)
{
    const auto* text = find_header(headers, name);
    std::int64_t out = 0;
    if (text == nullptr) {
        return {};
    }
    const auto result = std::from_chars(text->data(), text->data() + text->size(), out);
    return result.ec == std::errc{} ? std::optional{out} : std::nullopt;
}

// Parses the server's load header, "running,waiting,slots".
void read_load(const std::string* text, attempt_report& to)
{
    if (text == nullptr) {
        return;
    }
    char* rest = nullptr;
    const auto running = std::strtol(text->c_str(), &rest, 10);
    if (rest == nullptr || *rest != ',') {
        return;
    }
    to.running = static_cast<std::int32_t>(running);
    to.waiting = static_cast<std::int32_t>(std::strtol(rest + 1, nullptr, 10));
}

// Groups routes with equal latency objective, timeout, priority and retry policy into one class of
// traffic, since there may be very many routes.
std::uint64_t traffic_class_of(const route& it)
{
    constexpr std::uint64_t multiplier = 1'000'003;
    const auto objective = static_cast<std::uint64_t>(it.latency_objective / millis{1});
    const auto timeout = static_cast<std::uint64_t>(it.timeout / millis{1});
    return ((objective * multiplier + timeout) * multiplier + it.priority) * 2 +
           (it.retry == retry_policy::at_most_once ? 1 : 0);
}

std::string host_without_port(const std::string& host)
{
    return host.substr(0, host.find(':'));
}

std::uint64_t fingerprint(const caller_exchange& it)
{
    const auto header = [&](const char* name) -> std::string_view {
        const auto* out = find_header(it.head.headers, name);
        return out == nullptr ? std::string_view{} : *out;
    };
    return fingerprint_of({.method = it.head.method,
                           .target = it.head.target,
                           .body = it.body,
                           .host = header("Host"),
                           .credentials = header("Authorization")});
}

std::string seconds_text(duration it)
{
    auto text = std::to_string(static_cast<double>(it.count()) / 1e6);
    return text.substr(0, text.find('.') + 4);
}

} // namespace

request_flow::request_flow(host_context context, flow_services& services,
                           caller_exchange_ptr exchange)
    : context_(std::move(context)), services_(services), exchange_(std::move(exchange)),
      timer_(context_.loop, [this] { on_timeout(); })
{
    if (const auto* id = find_header(exchange_->head.headers, context_.platform.names.request_id)) {
        id_ = *id;
    }
}

request_flow::~request_flow()
{
    exchange_->on_disconnect = nullptr;
    exchange_->on_writable = nullptr;
    if (connection_) {
        connection_->abort();
        services_.connections.discard(std::move(connection_));
    }
}

bool request_flow::idempotent() const
{
    return route_->route.retry == retry_policy::idempotent;
}

bool request_flow::waiting() const
{
    return stage_ == stage::waiting_for_owner || stage_ == stage::waiting_for_slot;
}

const char* request_flow::waits_for() const
{
    switch (stage_) {
    case stage::waiting_for_owner:
        return "owner";
    case stage::waiting_for_slot:
        return "slot";
    default:
        return "server";
    }
}

void request_flow::log_unfinished() const
{
    log_event("unfinished", {{"request", id_},
                             {"waits_for", waits_for()},
                             {"service", service_.value},
                             {"server", server_.id.value},
                             {"sends", history_.sends()},
                             {"verdict", to_string(verdict_)},
                             {"answer_begun", exchange_->begun() ? "yes" : "no"},
                             {"took", monotonic_now() - exchange_->arrived},
                             {"left", time_left()}});
}

duration request_flow::time_left() const
{
    return deadline_ - monotonic_now();
}

// ---- routing

void request_flow::start()
{
    const auto& head = exchange_->head;
    if (!context_.view.routes().configured()) {
        refuse("no_configuration", millis{500});
        return;
    }
    const auto* host = find_header(head.headers, "Host");
    const auto path = head.target.substr(0, head.target.find('?'));
    version_ = context_.view.routes().current().version;
    route_ =
        host == nullptr ? nullptr : context_.view.routes().find(host_without_port(*host), path);
    if (!route_) {
        fail(not_found, "no_route");
        return;
    }
    const auto header_ms = integer_header(head.headers, context_.platform.names.time_left);
    const duration caller_timeout =
        header_ms ? duration{millis{*header_ms}} : duration{default_deadline};
    deadline_ = exchange_->arrived + std::min(caller_timeout, route_->route.timeout);
    fingerprint_ = fingerprint(*exchange_);
    if (reject_if_quarantined()) {
        return;
    }
    exchange_->on_disconnect = [this] { on_caller_disconnect(); };
    timer_.once(std::max<duration>(time_left() + response_grace, millis{1}));
    choose_service();
    find_server();
}

void request_flow::choose_service()
{
    const auto& shares = route_->route.shares;
    service_ = shares[shares.size() == 1 ? 0 : route_->split.next()].service;
    services_.budget(service_).on_request(monotonic_now());
    history_.set_limits(route_->route.max_servers, context_.view.keyed(service_));
    if (!context_.view.keyed(service_)) {
        return;
    }
    const auto key = integer_header(exchange_->head.headers, context_.platform.names.key);
    if (key && *key >= 0 && *key < key_count) {
        key_ = static_cast<key_number>(*key);
        services_.record_request(service_, *key_);
    }
}

// ---- choice of a server

void request_flow::find_server()
{
    if (!key_) {
        request_slot({});
        return;
    }
    const auto owner = context_.view.owner_of(service_, *key_);
    if (!owner.server.value.empty() && owner.held) {
        request_slot(owner.server);
        return;
    }
    const auto now = monotonic_now();
    if (stage_ != stage::waiting_for_owner || owner_wait_started_ == instant{}) {
        owner_wait_started_ = now;
    }
    stage_ = stage::waiting_for_owner;
    const auto wait = remaining_owner_wait(owner, now - owner_wait_started_, time_left());
    if (wait <= duration{0}) {
        refuse("no_owner",
               owner.server.value.empty() ? retry_after_owner_lost : retry_after_key_move);
        return;
    }
    timer_.once(wait);
}

void request_flow::request_slot(const server_id& required_server)
{
    stage_ = stage::waiting_for_slot;
    const auto now = monotonic_now();
    timer_.once(std::max<duration>(deadline_ - now + response_grace, millis{1}));
    const auto size = services_.response_sizes.find(route_->route.name);
    dispatch_request request{
        .service = service_,
        .required_server = required_server,
        .excluded_servers = {history_.tried().begin(), history_.tried().end()},
        .data_centre = data_centre_id{context_.settings.data_centre},
        .priority = route_->route.priority,
        .traffic_class = traffic_class_of(route_->route),
        .objective_left = (exchange_->arrived + route_->route.latency_objective - now).count(),
        .time_left = (deadline_ - now).count(),
        .answer_bytes =
            size == services_.response_sizes.end() ? 0 : static_cast<std::uint64_t>(size->second)};
    if (!required_server.value.empty()) {
        request.excluded_servers.clear();
    }
    const std::weak_ptr<request_flow> self = weak_from_this();
    const auto number = services_.dispatch.request_slot(
        std::move(request), {.on_granted =
                                 [self](std::uint64_t n, const server_id& server) {
                                     if (const auto it = self.lock()) {
                                         it->on_slot_granted(n, server);
                                     }
                                 },
                             .on_refused =
                                 [self](duration retry_after, const std::string& reason) {
                                     if (const auto it = self.lock()) {
                                         it->slot_number_ = 0;
                                         it->on_slot_refused(retry_after, reason);
                                     }
                                 }});
    if (stage_ == stage::waiting_for_slot) {
        slot_number_ = number;
    }
}

// The owner of the key may change while the request waits for a slot at that server.
void request_flow::on_view_change()
{
    if (stage_ == stage::waiting_for_owner) {
        find_server();
        return;
    }
    if (stage_ != stage::waiting_for_slot || !key_) {
        return;
    }
    const auto owner = context_.view.owner_of(service_, *key_);
    if (owner.held && owner.server == server_.id) {
        return;
    }
    if (slot_number_ != 0) {
        services_.dispatch.release_slot(std::exchange(slot_number_, 0),
                                        {.outcome = attempt_outcome::unused});
    }
    find_server();
}

void request_flow::on_slot_refused(duration retry_after, const std::string& reason)
{
    if (stage_ != stage::waiting_for_slot) {
        return;
    }
    if (verdict_ == verdict::not_run) {
        refuse(reason.c_str(), retry_after);
        return;
    }
    fail(bad_gateway, reason.c_str());
}

// Asked again before each send, since another host may have learned of it meanwhile.
bool request_flow::reject_if_quarantined()
{
    const auto left = services_.crashes.quarantine_left(monotonic_now(), fingerprint_);
    if (left <= duration{0}) {
        return false;
    }
    if (verdict_ == verdict::not_run) {
        refuse("quarantined", left);
    } else {
        fail(bad_gateway, "quarantined");
    }
    return true;
}

void request_flow::on_slot_granted(std::uint64_t number, const server_id& server)
{
    slot_number_ = number;
    if (stage_ != stage::waiting_for_slot) {
        services_.dispatch.release_slot(std::exchange(slot_number_, 0),
                                        {.outcome = attempt_outcome::unused});
        return;
    }
    const auto* found = context_.view.find_usable_server(server);
    const bool owns = !key_ || context_.view.owner_of(service_, *key_).server == server;
    if (reject_if_quarantined()) {
        return;
    }
    if (found == nullptr || !owns) {
        services_.dispatch.release_slot(std::exchange(slot_number_, 0),
                                        {.outcome = attempt_outcome::unused});
        if (++owner_misses_ > max_owner_misses) {
            refuse("owner_changed", millis{200});
            return;
        }
        find_server();
        return;
    }
    if (!history_.may_run_at(server)) {
        fail(bad_gateway, "servers_used_up");
        return;
    }
    server_ = *found;
    send();
}

// ---- forwarding to the server

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
    history_.on_send(server_.id);
    sent_at_ = monotonic_now();
    response_ = {};
    buffered_body_.clear();
    report_ = {};
    const auto max_idle =
        idempotent() ? duration{seconds{3600}} : context_.settings.fresh_connection;
    connection_ = services_.connections.acquire(server_.address, max_idle);
    timer_.once(std::max<duration>(time_left() + response_grace, millis{1}));
    connection_->send(server_request_head(), exchange_->body, exchange_->head.method != "HEAD",
                      {.may_send = [this] { return server_still_usable(); },
                       .on_sent = [this] { on_sent(); },
                       .on_head = [this](message_head& head) { return on_head(head); },
                       .on_body = [this](const char* buf, std::size_t n) { on_body(buf, n); },
                       .on_end = [this](bool reusable) { on_end(reusable); },
                       .on_lost = [this](connection_loss how) { on_lost(how); }});
}

void request_flow::on_sent()
{
    verdict_ = verdict::unknown;
    history_.on_sent(server_.id);
}

// While the connection was being established, the server may have announced that it stops, or
// been replaced by a new process.
bool request_flow::server_still_usable() const
{
    const auto* now = context_.view.find_usable_server(server_.id);
    return now != nullptr && now->start == server_.start;
}

server_process request_flow::process() const
{
    return server_process{stable_hash(server_.id.value, server_.start.value)};
}

void request_flow::note_crash()
{
    const auto now = monotonic_now();
    auto& crashes = services_.crashes;
    // What else was in flight at the server is known to the other hosts only.
    crashes.on_crash(now, fingerprint_, process(), false);
    if (crashes.status(now, fingerprint_) == crash_status::quarantined) {
        log_event("quarantine", {{"contents", fingerprint_},
                                 {"request", id_},
                                 {"server", server_.id.value},
                                 {"caller", exchange_->caller}});
    }
}

head_action request_flow::on_head(message_head& head)
{
    const auto& names = context_.platform.names;
    const auto* echoed = find_header(head.headers, names.request_id);
    // A server may respond twice to an earlier request; that response is not this request's.
    if (!id_.empty() && echoed != nullptr && *echoed != id_) {
        log_event("answer_of_another",
                  {{"request", id_}, {"answer", *echoed}, {"server", server_.id.value}});
        return head_action::skip;
    }
    response_ = std::move(head);
    read_load(find_header(response_.headers, names.server_load), report_);
    const bool marked_not_run = find_header(response_.headers, names.not_run) != nullptr;
    if (marked_not_run || response_.status == misdirected) {
        report_.outcome = attempt_outcome::rejected;
        return head_action::accept;
    }
    report_.outcome =
        response_.status >= server_error ? attempt_outcome::failed : attempt_outcome::answered;
    const bool buffer_first =
        idempotent() && (!response_.length || *response_.length <= context_.settings.held_answer);
    const bool may_retry =
        report_.outcome == attempt_outcome::failed && may_retry_failed_response();
    if (!buffer_first && !may_retry) {
        begin_response();
    }
    return head_action::accept;
}

void request_flow::begin_response()
{
    relaying_ = true;
    header_list headers;
    const auto& names = context_.platform.names;
    const auto* connection = find_header(response_.headers, "Connection");
    auto status = response_.status;
    const bool implies_not_run =
        status == unavailable || status == too_many_requests || status == request_timeout;
    // To callers these statuses mean that the request did not run, which the server did not state.
    const bool replaced = implies_not_run && !idempotent();
    if (replaced) {
        status = bad_gateway;
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
        if (connection_) {
            connection_->set_reading(true);
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
    if (!exchange_->write(data.data(), data.size()) && connection_) {
        connection_->set_reading(false);
    }
}

void request_flow::on_body(const char* buf, std::size_t n)
{
    if (relaying_) {
        if (!exchange_->write(buf, n) && connection_) {
            connection_->set_reading(false);
        }
        return;
    }
    buffered_body_.append(buf, n);
    const bool succeeded = report_.outcome == attempt_outcome::answered;
    if (succeeded && buffered_body_.size() > context_.settings.held_answer) {
        begin_response();
    }
}

void request_flow::on_end(bool reusable)
{
    const auto self = shared_from_this();
    const auto now = monotonic_now();
    const auto outcome = report_.outcome;
    report_.took = static_cast<std::uint64_t>((now - sent_at_).count());
    if (outcome == attempt_outcome::answered) {
        services_.record_service_time(server_.id, now - sent_at_);
        auto& size = services_.response_sizes[route_->route.name];
        const auto bytes = static_cast<double>(response_.length.value_or(buffered_body_.size()));
        size += response_size_weight * (bytes - size);
    }
    if (outcome != attempt_outcome::rejected) {
        services_.crashes.on_answer(now, fingerprint_);
    }
    if (response_.status != misdirected) {
        services_.crashes.on_sign_of_life(now, process(), sent_at_);
    }
    leave_server(outcome, reusable);
    if (exchange_->disconnected()) {
        finish(0, "caller_gone");
        return;
    }
    if (outcome == attempt_outcome::rejected) {
        verdict_ = verdict::not_run;
        history_.on_not_run(server_.id);
        if (response_.status == misdirected && key_ && ++owner_misses_ <= max_owner_misses) {
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
    const bool sent = connection_ && connection_->sent();
    const auto took = monotonic_now() - sent_at_;
    report_.took = static_cast<std::uint64_t>(took.count());
    leave_server(attempt_outcome::connection_lost, false);
    log_event("server_lost", {{"request", id_},
                              {"server", server_.id.value},
                              {"how", to_string(how)},
                              {"sent", sent ? "yes" : "no"},
                              {"contents", fingerprint_},
                              {"caller", exchange_->caller},
                              {"took", took}});
    if (sent && (how == connection_loss::closed || how == connection_loss::reset)) {
        note_crash();
    }
    if (exchange_->disconnected()) {
        finish(0, "caller_gone");
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
    fail(bad_gateway, to_string(how));
}

void request_flow::leave_server(attempt_outcome outcome, bool reusable)
{
    report_.outcome = outcome;
    if (slot_number_ != 0) {
        services_.dispatch.release_slot(std::exchange(slot_number_, 0), report_);
    }
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
        if (verdict_ == verdict::not_run) {
            refuse(why, millis{150});
        } else {
            fail(bad_gateway, why);
        }
        return;
    }
    find_server();
}

// ---- timeout, disconnect and completion

void request_flow::on_timeout()
{
    const auto self = shared_from_this();
    if (stage_ == stage::waiting_for_owner) {
        refuse("no_owner", retry_after_key_move);
        return;
    }
    if (relaying_) {
        // A response that has begun is delivered in full even after the deadline.
        return;
    }
    const bool at_server = stage_ == stage::at_server;
    if (connection_) {
        connection_->abort();
    }
    leave_server(at_server ? attempt_outcome::failed : attempt_outcome::unused, false);
    if (verdict_ == verdict::not_run) {
        refuse("timeout", millis{50});
        return;
    }
    fail(gateway_timeout, "timeout");
}

// A request that was sent once may have run, although it is at no server now.
void request_flow::refuse_unsent()
{
    const auto self = shared_from_this();
    if (verdict_ == verdict::not_run) {
        refuse("host_stops", retry_after_stop);
        return;
    }
    fail(bad_gateway, "host_stops");
}

void request_flow::give_up()
{
    const auto self = shared_from_this();
    if (connection_) {
        connection_->abort();
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
// most once is left to finish, because a cancelled run would have an unknown outcome.
void request_flow::on_caller_disconnect()
{
    const auto self = shared_from_this();
    if (stage_ == stage::at_server && !idempotent() && connection_) {
        return;
    }
    if (connection_) {
        connection_->abort();
    }
    leave_server(attempt_outcome::unused, false);
    finish(0, "caller_gone");
}

void request_flow::refuse(const char* reason, duration retry_after)
{
    exchange_->respond(unavailable, {{"Retry-After", seconds_text(retry_after)}}, "not run\n");
    finish(unavailable, reason);
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
                                                 {"took", took}});
}

} // namespace quincewing
