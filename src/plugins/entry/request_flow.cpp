#include "request_flow.hpp"

#include "quincewing/logging/event_log.hpp"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <strings.h>
#include <utility>

namespace quincewing {

namespace {

constexpr int not_found = 404;
constexpr int misdirected = 421;
constexpr int too_many = 429;
constexpr int server_error = 500;
constexpr int bad_gateway = 502;
constexpr int unavailable = 503;
constexpr int gateway_timeout = 504;

// After the route's timeout a server's own answer may still be on its way.
constexpr millis answer_on_its_way{80};
// When to come back: a server that is gone is followed by another within seconds, keys that move
// are in force again within a fraction of one.
constexpr seconds owner_gone_pause{1};
constexpr millis owner_moves_pause{200};
// Times that a request follows its key to another owner.
constexpr int most_owner_misses = 3;
// Deadline of requests that name none.
constexpr seconds assumed_deadline{30};
// Weight of the newest answer in the usual size of a route's answers.
constexpr double newest_size_share = 0.1;

std::optional<std::int64_t> number_in(const header_list& headers, const std::string& name)
{
    const auto* text = find_header(headers, name);
    std::int64_t out = 0;
    if (text == nullptr) {
        return {};
    }
    const auto result = std::from_chars(text->data(), text->data() + text->size(), out);
    return result.ec == std::errc{} ? std::optional{out} : std::nullopt;
}

// "running,waiting,slots"
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

// Routes of one kind agree in what they ask of the servers; there may be very many routes.
std::uint64_t kind_of(const route& it)
{
    constexpr std::uint64_t step = 1'000'003;
    const auto objective = static_cast<std::uint64_t>(it.latency_objective / millis{1});
    const auto timeout = static_cast<std::uint64_t>(it.timeout / millis{1});
    return ((objective * step + timeout) * step + it.priority) * 2 +
           (it.retry == retry_policy::at_most_once ? 1 : 0);
}

std::string host_without_port(const std::string& host)
{
    return host.substr(0, host.find(':'));
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
      timer_(context_.loop, [this] { on_time(); })
{
}

request_flow::~request_flow()
{
    if (connection_) {
        connection_->abort();
        services_.connections.discard(std::move(connection_));
    }
}

bool request_flow::repeatable() const
{
    return route_->route.retry == retry_policy::idempotent;
}

duration request_flow::left() const
{
    return end_ - monotonic_now();
}

// ---- routing

void request_flow::start()
{
    const auto& head = exchange_->head;
    if (const auto* id = find_header(head.headers, context_.platform.names.request_id)) {
        id_ = *id;
    }
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
    const auto wait = number_in(head.headers, context_.platform.names.time_left);
    const duration deadline = wait ? duration{millis{*wait}} : duration{assumed_deadline};
    end_ = exchange_->arrived + std::min(deadline, route_->route.timeout);
    exchange_->on_disconnect = [this] { on_gone(); };
    timer_.once(std::max<duration>(left() + answer_on_its_way, millis{1}));
    choose_service();
    find_place();
}

void request_flow::choose_service()
{
    const auto& shares = route_->route.shares;
    service_ = shares[shares.size() == 1 ? 0 : route_->split.next()].service;
    services_.budget(service_).on_request(monotonic_now());
    if (!context_.view.keyed(service_)) {
        return;
    }
    const auto key = number_in(exchange_->head.headers, context_.platform.names.key);
    if (key && *key >= 0 && *key < key_count) {
        key_ = static_cast<key_number>(*key);
        services_.record_request(service_, *key_);
    }
}

// ---- place

void request_flow::find_place()
{
    if (!key_) {
        ask_place({});
        return;
    }
    const auto owner = context_.view.owner_of(service_, *key_);
    if (!owner.server.value.empty() && owner.held) {
        ask_place(owner.server);
        return;
    }
    const auto now = monotonic_now();
    if (stage_ != stage::owner || owner_since_ == instant{}) {
        owner_since_ = now;
    }
    stage_ = stage::owner;
    const auto wait = remaining_owner_wait(owner, now - owner_since_, left());
    if (wait <= duration{0}) {
        refuse("no_owner", owner.server.value.empty() ? owner_gone_pause : owner_moves_pause);
        return;
    }
    timer_.once(wait);
}

void request_flow::ask_place(const server_id& only)
{
    stage_ = stage::place;
    const auto now = monotonic_now();
    timer_.once(std::max<duration>(end_ - now + answer_on_its_way, millis{1}));
    const auto size = services_.response_sizes.find(route_->route.name);
    dispatch_request request{
        .service = service_,
        .required_server = only,
        .excluded_servers = {tried_.begin(), tried_.end()},
        .data_centre = data_centre_id{context_.settings.data_centre},
        .priority = route_->route.priority,
        .traffic_class = kind_of(route_->route),
        .objective_left = (exchange_->arrived + route_->route.latency_objective - now).count(),
        .time_left = (end_ - now).count(),
        .answer_bytes =
            size == services_.response_sizes.end() ? 0 : static_cast<std::uint64_t>(size->second)};
    if (!only.value.empty()) {
        request.excluded_servers.clear();
    }
    const std::weak_ptr<request_flow> self = weak_from_this();
    const auto number = services_.dispatch.request_slot(
        std::move(request), {.on_granted =
                                 [self](std::uint64_t n, const server_id& server) {
                                     if (const auto it = self.lock()) {
                                         it->on_place(n, server);
                                     }
                                 },
                             .on_refused =
                                 [self](duration retry_after, const std::string& reason) {
                                     if (const auto it = self.lock()) {
                                         it->place_ = 0;
                                         it->on_refused(retry_after, reason);
                                     }
                                 }});
    if (stage_ == stage::place) {
        place_ = number;
    }
}

// Its key's owner may change while a request waits for a place there.
void request_flow::on_view_change()
{
    if (stage_ == stage::owner) {
        find_place();
        return;
    }
    if (stage_ != stage::place || !key_) {
        return;
    }
    const auto owner = context_.view.owner_of(service_, *key_);
    if (owner.held && owner.server == server_.id) {
        return;
    }
    if (place_ != 0) {
        services_.dispatch.release_slot(std::exchange(place_, 0),
                                        {.outcome = attempt_outcome::unused});
    }
    find_place();
}

void request_flow::on_refused(duration retry_after, const std::string& reason)
{
    if (stage_ != stage::place) {
        return;
    }
    if (verdict_ == verdict::not_run) {
        refuse(reason.c_str(), retry_after);
        return;
    }
    fail(bad_gateway, reason.c_str());
}

void request_flow::on_place(std::uint64_t number, const server_id& server)
{
    place_ = number;
    if (stage_ != stage::place) {
        services_.dispatch.release_slot(std::exchange(place_, 0),
                                        {.outcome = attempt_outcome::unused});
        return;
    }
    const auto* found = context_.view.find_usable_server(server);
    const bool owns = !key_ || context_.view.owner_of(service_, *key_).server == server;
    if (found == nullptr || !owns) {
        services_.dispatch.release_slot(std::exchange(place_, 0),
                                        {.outcome = attempt_outcome::unused});
        if (++owner_misses_ > most_owner_misses) {
            refuse("owner_changed", millis{200});
            return;
        }
        find_place();
        return;
    }
    server_ = *found;
    send();
}

// ---- at the server

std::string request_flow::server_request() const
{
    const auto& head = exchange_->head;
    const auto& names = context_.platform.names;
    const auto* connection = find_header(head.headers, "Connection");
    std::string out = head.method + " " + head.target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : head.headers) {
        const bool host = strcasecmp(name.c_str(), "Host") == 0;
        const bool own = strcasecmp(name.c_str(), names.time_left.c_str()) == 0 ||
                         strcasecmp(name.c_str(), names.target_server.c_str()) == 0;
        const bool named = connection != nullptr && has_token(*connection, name);
        if (host || !(is_hop_by_hop_header(name) || own || named)) {
            out += name;
            out += ": ";
            out += value;
            out += "\r\n";
        }
    }
    const auto ms = std::max<duration::rep>(left() / millis{1}, 1);
    out += names.time_left + ": " + std::to_string(ms) + "\r\n";
    out += names.target_server + ": " + server_.id.value + "\r\n";
    if (!exchange_->body.empty() || head.length || head.chunked) {
        out += "Content-Length: " + std::to_string(exchange_->body.size()) + "\r\n";
    }
    return out + "\r\n";
}

void request_flow::send()
{
    stage_ = stage::server;
    ++sends_;
    tried_.insert(server_.id);
    sent_at_ = monotonic_now();
    answer_ = {};
    held_.clear();
    report_ = {};
    const auto longest_idle =
        repeatable() ? duration{seconds{3600}} : context_.settings.fresh_connection;
    connection_ = services_.connections.acquire(server_.address, longest_idle);
    timer_.once(std::max<duration>(left() + answer_on_its_way, millis{1}));
    connection_->send(server_request(), exchange_->body, exchange_->head.method != "HEAD",
                      {.may_send = [this] { return still_usable(); },
                       .on_sent = [this] { verdict_ = verdict::unknown; },
                       .on_head = [this](message_head& head) { return on_head(head); },
                       .on_body = [this](const char* buf, std::size_t n) { on_body(buf, n); },
                       .on_end = [this](bool reusable) { on_end(reusable); },
                       .on_lost = [this](connection_loss how) { on_lost(how); }});
}

// The server may have said that it leaves while the connection was made.
bool request_flow::still_usable() const
{
    const auto* now = context_.view.find_usable_server(server_.id);
    return now != nullptr && now->start == server_.start;
}

head_action request_flow::on_head(message_head& head)
{
    const auto& names = context_.platform.names;
    const auto* echoed = find_header(head.headers, names.request_id);
    // A second answer to an earlier request may come where this one's is due.
    if (!id_.empty() && echoed != nullptr && *echoed != id_) {
        log_event("answer_of_another",
                  {{"request", id_}, {"answer", *echoed}, {"server", server_.id.value}});
        return head_action::skip;
    }
    answer_ = std::move(head);
    read_load(find_header(answer_.headers, names.server_load), report_);
    const bool marked_not_run = find_header(answer_.headers, names.not_run) != nullptr;
    if (marked_not_run || answer_.status == misdirected) {
        report_.outcome = attempt_outcome::rejected;
        return head_action::accept;
    }
    report_.outcome =
        answer_.status >= server_error ? attempt_outcome::failed : attempt_outcome::answered;
    const bool whole_first =
        repeatable() && (!answer_.length || *answer_.length <= context_.settings.held_answer);
    const bool again = report_.outcome == attempt_outcome::failed && may_send_again();
    if (!whole_first && !again) {
        begin_answer();
    }
    return head_action::accept;
}

void request_flow::begin_answer()
{
    passing_ = true;
    header_list headers;
    const auto& names = context_.platform.names;
    const auto* connection = find_header(answer_.headers, "Connection");
    auto status = answer_.status;
    const bool promise = status == unavailable || status == too_many || status == 408;
    // These statuses promise that the request did not run, which this server did not say.
    const bool changed = promise && !repeatable();
    if (changed) {
        status = bad_gateway;
    }
    for (const auto& [name, value] : answer_.headers) {
        const bool mark = strcasecmp(name.c_str(), names.response_seal.c_str()) == 0;
        const bool named = connection != nullptr && has_token(*connection, name);
        if (!is_hop_by_hop_header(name) && !named && !(changed && mark)) {
            headers.emplace_back(name, value);
        }
    }
    exchange_->on_writable = [this] {
        if (connection_) {
            connection_->set_reading(true);
        }
    };
    exchange_->begin(status, headers, answer_.length);
    flush_held();
}

void request_flow::flush_held()
{
    if (held_.empty()) {
        return;
    }
    const auto data = std::move(held_);
    held_.clear();
    if (!exchange_->write(data.data(), data.size()) && connection_) {
        connection_->set_reading(false);
    }
}

void request_flow::on_body(const char* buf, std::size_t n)
{
    if (passing_) {
        if (!exchange_->write(buf, n) && connection_) {
            connection_->set_reading(false);
        }
        return;
    }
    held_.append(buf, n);
    const bool ours = report_.outcome == attempt_outcome::answered;
    if (ours && held_.size() > context_.settings.held_answer) {
        begin_answer();
    }
}

void request_flow::on_end(bool reusable)
{
    const auto self = shared_from_this();
    const auto now = monotonic_now();
    const auto outcome = report_.outcome;
    report_.took = static_cast<std::uint64_t>((now - sent_at_).count());
    if (outcome == attempt_outcome::answered) {
        services_.record_work(server_.id, now - sent_at_);
        auto& size = services_.response_sizes[route_->route.name];
        const auto bytes = static_cast<double>(answer_.length.value_or(held_.size()));
        size += newest_size_share * (bytes - size);
    }
    leave_server(outcome, reusable);
    if (exchange_->disconnected()) {
        finish(0, "caller_gone");
        return;
    }
    if (outcome == attempt_outcome::rejected) {
        verdict_ = verdict::not_run;
        if (answer_.status == misdirected && key_ && ++owner_misses_ <= most_owner_misses) {
            tried_.erase(server_.id);
        }
        try_again("turned_away", true);
        return;
    }
    verdict_ = verdict::ran;
    if (!passing_ && outcome == attempt_outcome::failed && may_send_again() &&
        services_.budget(service_).try_spend(now, services_.host_count())) {
        try_again("server_failed", false);
        return;
    }
    if (!passing_) {
        if (!answer_.length) {
            answer_.length = held_.size();
        }
        begin_answer();
    }
    exchange_->end();
    finish(answer_.status, "answered");
}

void request_flow::on_lost(connection_loss how)
{
    const auto self = shared_from_this();
    const bool sent = connection_ && connection_->sent();
    report_.took = static_cast<std::uint64_t>((monotonic_now() - sent_at_).count());
    leave_server(attempt_outcome::connection_lost, false);
    log_event("server_lost", {{"request", id_},
                              {"server", server_.id.value},
                              {"how", to_string(how)},
                              {"sent", sent ? "yes" : "no"}});
    if (exchange_->disconnected()) {
        finish(0, "caller_gone");
        return;
    }
    if (passing_) {
        exchange_->abort();
        finish(answer_.status, "answer_broke_off");
        return;
    }
    if (!sent || repeatable()) {
        try_again(to_string(how), sent);
        return;
    }
    fail(bad_gateway, to_string(how));
}

void request_flow::leave_server(attempt_outcome outcome, bool reusable)
{
    report_.outcome = outcome;
    if (place_ != 0) {
        services_.dispatch.release_slot(std::exchange(place_, 0), report_);
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

// ---- again, or not

bool request_flow::may_send_again() const
{
    const bool more_servers = tried_.size() < route_->route.max_servers;
    const bool time = left() > millis{20};
    return repeatable() && more_servers && time && !exchange_->disconnected() && !key_;
}

void request_flow::try_again(const char* why, bool uses_budget)
{
    const bool once_more =
        tried_.size() < route_->route.max_servers || (key_ && sends_ < 3) || sends_ == 0;
    const bool time = left() > millis{20};
    const bool budget = once_more && time &&
                        (!uses_budget || services_.budget(service_).try_spend(
                                             monotonic_now(), services_.host_count()));
    log_event("again", {{"request", id_},
                        {"server", server_.id.value},
                        {"why", why},
                        {"sends", sends_},
                        {"left", left()},
                        {"allowed", once_more && time && budget ? "yes" : "no"}});
    if (!once_more || !time || !budget) {
        if (verdict_ == verdict::not_run) {
            refuse(why, millis{150});
        } else {
            fail(bad_gateway, why);
        }
        return;
    }
    find_place();
}

// ---- ends

void request_flow::on_time()
{
    const auto self = shared_from_this();
    if (stage_ == stage::owner) {
        refuse("no_owner", owner_moves_pause);
        return;
    }
    if (passing_) {
        // The answer has begun: it is delivered, also late.
        return;
    }
    const bool at_server = stage_ == stage::server;
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

// What may run again is stopped by closing the connection to its server. What may not goes on
// there, because nobody could tell whether it was stopped in time.
void request_flow::on_gone()
{
    const auto self = shared_from_this();
    if (stage_ == stage::server && !repeatable() && connection_) {
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
    stage_ = stage::over;
    timer_.cancel();
    exchange_->on_disconnect = nullptr;
    exchange_->on_writable = nullptr;
    if (place_ != 0) {
        services_.dispatch.release_slot(std::exchange(place_, 0),
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
                                                 {"sends", sends_},
                                                 {"status", status},
                                                 {"reason", reason},
                                                 {"verdict", to_string(verdict_)},
                                                 {"took", took}});
}

} // namespace quincewing
