#include "caller_listener.hpp"

#include "http_status.hpp"
#include "request_properties.hpp"

#include "quincewing/logging/event_log.hpp"
#include "quincewing/net/endpoint.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <event2/listener.h>
#include <event2/util.h>
#include <sys/resource.h>
#include <unistd.h>

namespace quincewing {

namespace {

// After this time without traffic a request is unlikely to be in flight on the connection.
constexpr millis idle_before_close{300};

// Reports of all connections, while memory is not short: they take processor time.
constexpr millis budget_check_period{250};
// If the machine's memory is not known. Ordinary callers of a host hold a few MiB.
constexpr std::uint64_t default_caller_bytes = 128UL * 1024 * 1024;

memory_budget_options memory_options(const entry_settings& it)
{
    memory_budget_options out{.bytes = default_caller_bytes};
    if (it.memory > 0) {
        out.bytes = static_cast<std::uint64_t>(static_cast<double>(it.memory) * it.caller_memory);
    }
    return out;
}

connection_budget_options descriptor_options(const entry_settings& it)
{
    connection_budget_options out{.descriptors = it.descriptors,
                                  .caller_share = it.caller_descriptors};
    rlimit allowed{};
    if (getrlimit(RLIMIT_NOFILE, &allowed) == 0) {
        out.descriptors = out.descriptors == 0
                              ? allowed.rlim_cur
                              : std::min<std::uint64_t>(out.descriptors, allowed.rlim_cur);
    }
    return out;
}

std::string ip_text(const sockaddr& address)
{
    std::array<char, INET_ADDRSTRLEN> buf{};
    const auto& ip = reinterpret_cast<const sockaddr_in&>(address).sin_addr;
    const auto* text = inet_ntop(AF_INET, &ip, buf.data(), buf.size());
    return text == nullptr ? "" : text;
}

} // namespace

caller_listener::caller_listener(host_context context, flow_services& services)
    : context_(std::move(context)), services_(services), memory_(memory_options(context_.settings)),
      descriptors_(descriptor_options(context_.settings)), cleanup_timer_(context_.loop, [this] {
          closed_connections_.clear();
          remove_ended_flows();
      })
{
}

caller_listener::~caller_listener()
{
    if (listener_ != nullptr) {
        evconnlistener_free(listener_);
    }
}

bool caller_listener::start()
{
    constexpr int listen_backlog = 1024;
    const auto at = parse_endpoint(context_.settings.callers);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(at.port);
    inet_pton(AF_INET, at.ip.c_str(), &address.sin_addr);
    const auto accept = [](evconnlistener*, evutil_socket_t fd, sockaddr* from, int, void* arg) {
        static_cast<caller_listener*>(arg)->on_accept(fd, ip_text(*from));
    };
    listener_ = evconnlistener_new_bind(context_.loop.base(), accept, this,
                                        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, listen_backlog,
                                        reinterpret_cast<sockaddr*>(&address), sizeof address);
    return listener_ != nullptr;
}

void caller_listener::on_accept(int fd, std::string caller)
{
    if (descriptors_.full(connections_.size()) && !make_room_for_connection()) {
        count_limited("connections_closed_at_accept");
        close(fd);
        return;
    }
    auto limits = context_.view.routes().current().limits;
    limits.body_bytes = std::min(limits.body_bytes, context_.settings.request_body);
    evutil_make_socket_nonblocking(fd);
    auto it = std::make_unique<caller_connection>(
        context_.loop, fd,
        caller_connection_options{.id = memory_holder{++last_id_},
                                  .caller = std::move(caller),
                                  .limits = limits,
                                  .answer_buffer = context_.settings.answer_buffer},
        caller_connection_hooks{
            .on_request = [this](const auto& exchange) { on_request(exchange); },
            .may_run_concurrently = [this](const auto& head) { return may_run_concurrently(head); },
            .on_closed = [this](caller_connection* closed) { remove_connection(closed); },
            .stopping = [this] { return stopping_; },
            .may_read =
                [this](caller_connection& from) {
                    memory_.update(monotonic_now(), from.id(), from.usage());
                    return memory_.may_read(from.id());
                },
            .has_room =
                [this] {
                    if (!memory_.has_room()) {
                        count_limited("bodies_without_room");
                        return false;
                    }
                    return true;
                }});
    auto* key = it.get();
    by_id_.emplace(key->id().value, key);
    connections_.emplace(key, std::move(it));
}

void caller_listener::remove_connection(caller_connection* it)
{
    const auto found = connections_.find(it);
    if (found != connections_.end()) {
        memory_.remove(it->id());
        by_id_.erase(it->id().value);
        closed_connections_.push_back(std::move(found->second));
        connections_.erase(found);
        cleanup_timer_.soon();
    }
}

caller_connection* caller_listener::find_connection(memory_holder id) const
{
    const auto it = by_id_.find(id.value);
    return it == by_id_.end() ? nullptr : it->second;
}

void caller_listener::count_limited(const std::string& what)
{
    limited_.add(what);
    ++context_.metrics.counter("quincewing_callers_limited_total", {{"what", what}});
}

bool caller_listener::make_room_for_connection()
{
    const auto now = monotonic_now();
    if (!descriptors_.may_choose(now)) {
        return false;
    }
    std::vector<quiet_connection> quiet;
    for (const auto& [key, it] : connections_) {
        if (const auto found = it->quiet()) {
            quiet.push_back(*found);
        }
    }
    const auto chosen = descriptors_.choose(now, std::move(quiet));
    for (const auto id : chosen) {
        if (auto* it = find_connection(id)) {
            count_limited("quiet_connections_closed");
            it->abandon();
        }
    }
    return !chosen.empty();
}

void caller_listener::keep_to_budget(instant now)
{
    for (const auto& [key, it] : connections_) {
        memory_.update(now, it->id(), it->usage());
    }
    const auto actions = memory_.decide(now);
    const auto apply = [this](const std::vector<memory_holder>& ids, const char* what,
                              const std::function<void(caller_connection&)>& action) {
        for (const auto id : ids) {
            if (auto* it = find_connection(id)) {
                count_limited(what);
                action(*it);
            }
        }
    };
    apply(actions.refuse, "refused",
          [](caller_connection& it) { it.refuse_unfinished(http_status::unavailable); });
    apply(actions.too_slow, "too_slow",
          [](caller_connection& it) { it.refuse_unfinished(http_status::request_timeout); });
    apply(actions.close, "unread_answers_closed", [](caller_connection& it) { it.abandon(); });
    apply(actions.resume, "resumed", [](caller_connection& it) { it.resume_reading(); });
}

void caller_listener::update_metrics()
{
    memory_usage sum;
    for (const auto& [key, it] : connections_) {
        const auto usage = it->usage();
        sum.requests += usage.requests;
        sum.input += usage.input;
        sum.answers += usage.answers;
    }
    auto& metrics = context_.metrics;
    metrics.gauge("quincewing_caller_bytes", {{"kind", "requests"}}) =
        static_cast<double>(sum.requests);
    metrics.gauge("quincewing_caller_bytes", {{"kind", "input"}}) = static_cast<double>(sum.input);
    metrics.gauge("quincewing_caller_bytes", {{"kind", "answers"}}) =
        static_cast<double>(sum.answers);
    metrics.gauge("quincewing_caller_connections_paused") = static_cast<double>(memory_.paused());
}

bool caller_listener::may_run_concurrently(const message_head& head) const
{
    const auto* host = find_header(head.headers, "Host");
    if (host == nullptr) {
        return false;
    }
    const auto route = context_.view.routes().find(host_without_port(*host),
                                                   head.target.substr(0, head.target.find('?')));
    return route && route->route.retry == retry_policy::idempotent &&
           !services_.large.expected(monotonic_now(), route->route.name);
}

void caller_listener::on_request(const caller_exchange_ptr& exchange)
{
    const auto flow = std::make_shared<request_flow>(context_, services_, exchange);
    flows_.push_back(flow);
    if (!may_start_requests()) {
        flow->refuse_unsent();
    } else {
        last_started_ = exchange->arrived;
        flow->start();
    }
    if (flow->ended()) {
        cleanup_timer_.soon();
    }
}

std::size_t caller_listener::unsent_bytes() const
{
    std::size_t n = 0;
    for (const auto& [key, it] : connections_) {
        n += it->unsent_bytes();
    }
    return n;
}

bool caller_listener::all_sent() const
{
    const bool answered =
        std::all_of(flows_.begin(), flows_.end(), [](const auto& it) { return it->ended(); });
    return answered && std::all_of(connections_.begin(), connections_.end(),
                                   [](const auto& it) { return it.second->unsent_bytes() == 0; });
}

void caller_listener::remove_ended_flows()
{
    std::erase_if(flows_, [](const auto& it) { return it->ended(); });
}

void caller_listener::set_stopping()
{
    stopping_ = true;
    for (const auto& it : flows_) {
        if (!it->ended()) {
            it->on_host_stops();
        }
    }
}

void caller_listener::on_view_change()
{
    const auto flows = flows_;
    for (const auto& it : flows) {
        if (!it->ended()) {
            it->on_view_change();
        }
    }
}

void caller_listener::on_server_rests(const server_id& server)
{
    const auto flows = flows_;
    for (const auto& it : flows) {
        if (!it->ended()) {
            it->on_server_rests(server);
        }
    }
}

std::size_t caller_listener::give_up_if(const std::function<bool(const request_flow&)>& wanted)
{
    std::size_t n = 0;
    const auto flows = flows_;
    for (const auto& it : flows) {
        if (!it->ended() && wanted(*it)) {
            ++n;
            it->log_unfinished();
            it->give_up();
        }
    }
    return n;
}

void caller_listener::read_responses()
{
    const auto flows = flows_;
    for (const auto& it : flows) {
        it->read_response();
    }
}

void caller_listener::answer_unfinished()
{
    const auto n = give_up_if([](const request_flow& it) { return !it.answer_begun(); });
    log_event("stop_overdue", {{"requests", n}, {"connections", connections_.size()}});
}

void caller_listener::cut_answers()
{
    const auto n = give_up_if([](const request_flow&) { return true; });
    if (n > 0) {
        log_event("answers_cut", {{"requests", n}});
    }
}

void caller_listener::tick(instant now)
{
    remove_ended_flows();
    if (memory_.memory_short() || now >= next_budget_check_) {
        next_budget_check_ = now + budget_check_period;
        keep_to_budget(now);
    }
    std::vector<caller_connection*> all;
    all.reserve(connections_.size());
    for (const auto& [key, it] : connections_) {
        all.push_back(key);
    }
    for (auto* it : all) {
        it->check_timeouts(now);
        if (closing_idle_) {
            it->close_if_idle(now, idle_before_close);
        }
    }
}

// New connections are still accepted: the load balancer may have chosen this host before it
// noticed the shutdown.
void caller_listener::close_idle_connections()
{
    closing_idle_ = true;
}

void caller_listener::refuse_unsent_requests()
{
    if (refusing_) {
        return;
    }
    refusing_ = true;
    // The loop's clock is coarser than the process's: a timer may fire some milliseconds early.
    last_start_ = std::min(last_start_, monotonic_now());
    if (listener_ != nullptr) {
        evconnlistener_free(listener_);
        listener_ = nullptr;
    }
    const auto flows = flows_;
    for (const auto& it : flows) {
        if (it->waiting()) {
            it->refuse_unsent();
        }
    }
}

} // namespace quincewing
