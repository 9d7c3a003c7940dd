#include "quincewing/callers/callers_task.hpp"

#include "caller_request.hpp"
#include "request_guard.hpp"

#include "quincewing/net/endpoint.hpp"
#include "quincewing/net/evhtp_body.hpp"
#include "quincewing/net/evhtp_budget.hpp"
#include "quincewing/net/evhtp_head_limit.hpp"
#include "quincewing/net/evhtp_hook.hpp"

#include <algorithm>
#include <cstdlib>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <evhtp/evhtp.h>
#include <set>
#include <string>
#include <sys/socket.h>

namespace quincewing {

namespace {

constexpr int listen_backlog = 1024;
constexpr std::size_t max_head_bytes = 64UL * 1024;
// If the machine's memory is not known. Ordinary callers of a host hold a few MiB.
constexpr std::uint64_t default_budget = 128UL * 1024 * 1024;

evhtp_budget_options budget_of(const limit_settings& it)
{
    auto out = evhtp_budget_options_of({.memory = it.memory,
                                        .memory_share = it.caller_memory,
                                        .default_bytes = default_budget,
                                        .descriptors = it.descriptors,
                                        .descriptor_share = it.caller_descriptors});
    out.connections = it.caller_connections;
    // A slow upload is ended no sooner than a silent one.
    out.memory.progress_time = it.caller_idle;
    return out;
}

} // namespace

struct callers_task::state
{
    state(event_loop& l, host_task& h)
        : loop(l), host(h), heads(l, max_head_bytes), guard(max_head_bytes),
          budget(l, budget_of(h.settings().limits), [this](const char* what) {
              ++host.metrics().counter("quincewing_callers_limited_total", {{"what", what}});
          })
    {
    }

    event_loop& loop;
    host_task& host;
    evhtp_head_limit heads;
    request_guard guard;
    evhtp_budget budget;
    evhtp_t* server{};
    std::set<evhtp_connection_t*> connections;
    bool closed{};

    static evhtp_res on_accept(evhtp_connection_t* connection, void* arg);
    static evhtp_res on_connection_fini(evhtp_connection_t* connection, void* arg);
    static evhtp_res on_headers(evhtp_request_t* request, evhtp_headers_t* headers, void* arg);
    static void write_refusal(evhtp_connection_t* to, evhtp_res status);
    static void refuse(evhtp_request_t* request, evhtp_res status);
    /// Whether the complete request may be handled. If not it has its answer.
    bool admit(evhtp_request_t* request);
    static void on_health(evhtp_request_t* request, void* arg);
    static void on_ready(evhtp_request_t* request, void* arg);
    static void on_request(evhtp_request_t* request, void* arg);
};

evhtp_res callers_task::state::on_accept(evhtp_connection_t* connection, void* arg)
{
    auto& self = *static_cast<state*>(arg);
    if (!self.budget.accept(connection)) {
        ++self.host.metrics().counter("quincewing_connections_refused_total");
        return EVHTP_RES_ERROR;
    }
    self.connections.insert(connection);
    self.heads.watch(connection);
    self.guard.watch(connection);
    gather_bodies(connection);
    evhtp_connection_set_hook(connection, evhtp_hook_on_connection_fini,
                              as_evhtp_hook(on_connection_fini), arg);
    evhtp_connection_set_hook(connection, evhtp_hook_on_headers, as_evhtp_hook(on_headers), arg);
    return EVHTP_RES_OK;
}

evhtp_res callers_task::state::on_connection_fini(evhtp_connection_t* connection, void* arg)
{
    auto& self = *static_cast<state*>(arg);
    self.heads.forget(connection);
    self.guard.forget(connection);
    self.budget.forget(connection);
    self.connections.erase(connection);
    return EVHTP_RES_OK;
}

// Ambiguous requests, and bodies that are announced as too large, are refused before any of it is
// forwarded.
evhtp_res callers_task::state::on_headers(evhtp_request_t* request, evhtp_headers_t* headers,
                                          void* arg)
{
    auto& self = *static_cast<state*>(arg);
    self.heads.on_headers(evhtp_request_get_connection(request));
    self.budget.on_headers(request);
    const auto* length = evhtp_header_find(headers, "Content-Length");
    const auto most = self.host.settings().limits.request_body;
    if (const auto refusal = self.guard.check(request); refusal != 0) {
        write_refusal(evhtp_request_get_connection(request), refusal);
        return refusal;
    }
    if (length == nullptr || std::strtoull(length, nullptr, 10) <= most) {
        caller_request::attach(self.host, request);
        return EVHTP_RES_OK;
    }
    refuse(request, EVHTP_RES_ENTOOLARGE);
    return EVHTP_RES_ENTOOLARGE;
}

// When its hook rejects a head, the library frees the connection and discards unsent output, so the
// refusal is written to the socket directly. If earlier answers are still unsent, it would arrive
// ahead of them, and the connection is only closed.
void callers_task::state::write_refusal(evhtp_connection_t* to, evhtp_res status)
{
    if (evbuffer_get_length(bufferevent_get_output(evhtp_connection_get_bev(to))) > 0) {
        return;
    }
    const std::string line =
        status == EVHTP_RES_NOTIMPL ? "501 Not Implemented" : "400 Bad Request";
    const auto answer = "HTTP/1.1 " + line +
                        "\r\nQuincewing-Verdict: not_run\r\nContent-Length: 0\r\n"
                        "Connection: close\r\n\r\n";
    ::send(to->sock, answer.data(), answer.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
}

// What follows such a request on its connection can't be told apart from it.
void callers_task::state::refuse(evhtp_request_t* request, evhtp_res status)
{
    evhtp_request_set_keepalive(request, 0);
    evhtp_headers_add_header(request->headers_out,
                             evhtp_header_new("Quincewing-Verdict", "not_run", 0, 0));
    evhtp_send_reply(request, status);
}

bool callers_task::state::admit(evhtp_request_t* request)
{
    heads.on_request(evhtp_request_get_connection(request));
    if (budget.on_request(request)) {
        return true;
    }
    evhtp_budget::refuse(request, EVHTP_RES_SERVUNAVAIL);
    return false;
}

void callers_task::state::on_health(evhtp_request_t* request, void* arg)
{
    if (!static_cast<state*>(arg)->admit(request)) {
        return;
    }
    evbuffer_add_printf(request->buffer_out, "ok\n");
    evhtp_send_reply(request, EVHTP_RES_OK);
}

void callers_task::state::on_ready(evhtp_request_t* request, void* arg)
{
    auto& self = *static_cast<state*>(arg);
    if (!self.admit(request)) {
        return;
    }
    const bool ready = self.host.ready();
    evbuffer_add_printf(request->buffer_out, ready ? "ready\n" : "not ready\n");
    evhtp_send_reply(request, ready ? EVHTP_RES_OK : EVHTP_RES_SERVUNAVAIL);
}

void callers_task::state::on_request(evhtp_request_t* request, void* arg)
{
    auto& self = *static_cast<state*>(arg);
    if (!self.admit(request)) {
        return;
    }
    if (const auto refusal = self.guard.check_body(request); refusal != 0) {
        refuse(request, refusal);
        return;
    }
    caller_request::take(request);
}

callers_task::callers_task(event_loop& loop, host_task& host)
    : state_(std::make_unique<state>(loop, host))
{
}

callers_task::~callers_task()
{
    if (state_->server != nullptr) {
        close();
        evhtp_free(state_->server);
    }
}

void callers_task::close()
{
    if (!state_->closed) {
        state_->closed = true;
        evhtp_unbind_socket(state_->server);
    }
}

bool callers_task::answers_sent() const
{
    const auto& all = state_->connections;
    return std::all_of(all.begin(), all.end(), [](auto* it) {
        auto* out = bufferevent_get_output(evhtp_connection_get_bev(it));
        return evbuffer_get_length(out) == 0;
    });
}

bool callers_task::start()
{
    const auto& settings = state_->host.settings();
    const auto at = parse_endpoint(settings.callers);
    auto* server = evhtp_new(state_->loop.base(), nullptr);
    state_->server = server;
    // The library ends a connection at this size, not above it.
    evhtp_set_max_body_size(server, settings.limits.request_body + 1);
    const auto idle = to_timeval(settings.limits.caller_idle);
    evhtp_set_timeouts(server, &idle, &idle);
    evhtp_set_post_accept_cb(server, state::on_accept, state_.get());
    evhtp_set_cb(server, "/health", state::on_health, state_.get());
    evhtp_set_cb(server, "/ready", state::on_ready, state_.get());
    evhtp_set_gencb(server, state::on_request, state_.get());
    return evhtp_bind_socket(server, at.ip.c_str(), at.port, listen_backlog) == 0;
}

} // namespace quincewing
