#include "request_flow.hpp"

#include "crash_exchange.hpp"
#include "http_status.hpp"
#include "request_properties.hpp"

#include "quincewing/base/hash.hpp"
#include "quincewing/logging/event_log.hpp"

#include <algorithm>
#include <utility>

namespace quincewing {

namespace {

// Retry-After value: a lost owner is replaced within seconds.
constexpr seconds retry_after_owner_lost{1};
// Share of the time left that a caller waits for the end of a server's rest, and the time over
// which callers that wait for the same end return.
constexpr double rest_wait_share = 0.3;
constexpr millis rest_return_spread{250};
// Retry-After value of a host that lacks the newest configuration: others have it.
constexpr millis retry_after_outdated{200};
// Time that a look at the store for a newer configuration takes, and how often its end is checked.
constexpr millis configuration_look_timeout{700};
constexpr millis configuration_look_period{30};
// For requests without a deadline header.
constexpr seconds default_deadline{30};

} // namespace

request_flow::request_flow(host_context context, flow_services& services,
                           caller_exchange_ptr exchange)
    : context_(std::move(context)), services_(services), exchange_(std::move(exchange)),
      timer_(context_.loop, [this] { on_timeout(); })
{
    first_sent_at_ = exchange_->arrived;
    if (const auto* id = find_header(exchange_->head.headers, context_.platform.names.request_id)) {
        id_ = *id;
    }
}

request_flow::~request_flow()
{
    exchange_->on_disconnect = nullptr;
    exchange_->on_writable = nullptr;
    if (auto* it = channel()) {
        it->abort();
    }
    if (connection_) {
        services_.connections.discard(std::move(connection_));
    }
}

bool request_flow::idempotent() const
{
    return route_->route.retry == retry_policy::idempotent;
}

bool request_flow::waiting() const
{
    return stage_ == stage::waiting_for_configuration || stage_ == stage::waiting_for_owner ||
           stage_ == stage::waiting_for_slot;
}

const char* request_flow::waits_for() const
{
    switch (stage_) {
    case stage::waiting_for_configuration:
        return "configuration";
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
    if (!context_.view.routes().configured()) {
        refuse("no_configuration", millis{500});
        return;
    }
    exchange_->on_disconnect = [this] { on_caller_disconnect(); };
    stage_ = stage::waiting_for_configuration;
    find_route();
}

bool request_flow::configuration_outdated() const
{
    const auto& currency = context_.view.currency();
    return currency.behind() &&
           !currency.current(monotonic_now(), context_.settings.bounds.configuration);
}

void request_flow::find_route()
{
    if (configuration_outdated()) {
        refuse("configuration_outdated", retry_after_outdated);
        return;
    }
    const auto& head = exchange_->head;
    const auto now = monotonic_now();
    const auto* host = find_header(head.headers, "Host");
    const auto path = head.target.substr(0, head.target.find('?'));
    version_ = context_.view.routes().current().version;
    route_ =
        host == nullptr ? nullptr : context_.view.routes().find(host_without_port(*host), path);
    const auto trust = context_.settings.bounds.configuration_trust();
    const bool known = host == nullptr || context_.view.currency().current(now, trust);
    if (!route_ && known) {
        fail(http_status::not_found, "no_route");
        return;
    }
    if (!route_ && now - exchange_->arrived >= configuration_look_timeout) {
        refuse("configuration_unknown", retry_after_outdated);
        return;
    }
    if (!route_) {
        timer_.once(configuration_look_period);
        return;
    }
    const auto header_ms = integer_header(head.headers, context_.platform.names.time_left);
    const duration caller_timeout =
        header_ms ? duration{millis{*header_ms}} : duration{default_deadline};
    caller_deadline_ = exchange_->arrived + caller_timeout;
    deadline_ = std::min(caller_deadline_, exchange_->arrived + route_->route.timeout);
    fingerprint_ = fingerprint_of(*exchange_);
    if (reject_if_quarantined()) {
        return;
    }
    stage_ = stage::waiting_for_owner;
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
    if (owner_rest_left() > duration{0}) {
        end_since_owner_rests();
        return;
    }
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
        const bool evacuated = owner.server.value.empty() && context_.view.evacuated(service_);
        end_unserved(evacuated ? "evacuated" : "no_owner",
                     owner.server.value.empty() ? retry_after_owner_lost : retry_after_key_move);
        return;
    }
    timer_.once(wait);
}

void request_flow::request_slot(const server_id& required_server)
{
    stage_ = stage::waiting_for_slot;
    required_server_ = required_server;
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
            size == services_.response_sizes.end() ? 0 : static_cast<std::uint64_t>(size->second),
        .key = key_ ? std::uint32_t{*key_} + 1 : 0};
    const auto resting = context_.view.conditions().resting(now);
    const auto unreachable = services_.reach.unreachable(service_);
    for (const auto* more : {&resting, &unreachable}) {
        request.excluded_servers.insert(request.excluded_servers.end(), more->begin(), more->end());
    }
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
    if (stage_ == stage::waiting_for_configuration) {
        find_route();
        return;
    }
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
    const bool evacuated = reason == "no_server" && context_.view.evacuated(service_);
    end_unserved(evacuated ? "evacuated" : reason.c_str(), retry_after);
}

void request_flow::end_unserved(const char* reason, duration retry_after)
{
    if (verdict_ == verdict::not_run) {
        refuse(reason, retry_after);
        return;
    }
    fail(http_status::bad_gateway, reason);
}

duration request_flow::owner_rest_left() const
{
    if (!key_) {
        return duration{0};
    }
    const auto owner = context_.view.owner_of(service_, *key_);
    const auto* server = context_.view.find_usable_server(owner.server);
    return server == nullptr ? duration{0}
                             : context_.view.conditions().rest_left(monotonic_now(), *server);
}

// The caller's next request may come to a host that the server takes requests from, so it waits for
// the end of the rest only if that leaves it enough time. Callers return one after the other.
void request_flow::end_since_owner_rests()
{
    const auto spread = duration{static_cast<duration::rep>(
        stable_hash(id_) % static_cast<std::uint64_t>(duration{rest_return_spread}.count()))};
    const auto longest = std::chrono::duration_cast<duration>(time_left() * rest_wait_share);
    end_unserved("server_rests", std::clamp(owner_rest_left() + spread, duration{millis{50}},
                                            std::max<duration>(longest, millis{50})));
}

void request_flow::on_server_rests(const server_id& server)
{
    if (stage_ != stage::waiting_for_slot || required_server_ != server || !key_) {
        return;
    }
    const auto self = shared_from_this();
    if (slot_number_ != 0) {
        services_.dispatch.release_slot(std::exchange(slot_number_, 0),
                                        {.outcome = attempt_outcome::unused});
    }
    find_server();
}

// Asked again before each send, since another host may have learned of it meanwhile.
bool request_flow::reject_if_quarantined()
{
    const auto left = services_.crashes.guard().quarantine_left(monotonic_now(), fingerprint_);
    if (left <= duration{0}) {
        return false;
    }
    end_unserved("quarantined", left);
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
    if (!services_.may_start_requests()) {
        refuse_unsent();
        return;
    }
    if (reject_if_quarantined()) {
        return;
    }
    const bool rests = found != nullptr &&
                       context_.view.conditions().rest_left(monotonic_now(), *found) > duration{0};
    if (found == nullptr || !owns || rests) {
        services_.dispatch.release_slot(std::exchange(slot_number_, 0),
                                        {.outcome = attempt_outcome::unused});
        if (++owner_misses_ > max_owner_misses) {
            end_unserved("owner_changed", millis{200});
            return;
        }
        find_server();
        return;
    }
    if (!history_.may_run_at(server)) {
        end_unserved("servers_used_up", retry_after_key_move);
        return;
    }
    server_ = *found;
    send();
}

} // namespace quincewing
