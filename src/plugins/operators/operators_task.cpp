#include "quincewing/operators/operators_task.hpp"

#include "plan_json.hpp"
#include "status_json.hpp"

#include "quincewing/base/hash.hpp"
#include "quincewing/net/endpoint.hpp"
#include "quincewing/net/evhtp_body.hpp"
#include "quincewing/net/evhtp_budget.hpp"
#include "quincewing/net/evhtp_head_limit.hpp"
#include "quincewing/net/evhtp_hook.hpp"

#include <event2/buffer.h>
#include <evhtp/evhtp.h>
#include <list>

namespace quincewing {

namespace {

using nlohmann::json;

constexpr int listen_backlog = 64;
constexpr std::uint64_t largest_body = 16UL * 1024 * 1024;
constexpr std::size_t max_head_bytes = 64UL * 1024;
// If the machine's memory is not known: two of the largest bodies, each counted twice.
constexpr std::uint64_t default_budget = 64UL * 1024 * 1024;
// A body must grow by 4 KiB in this time, as at the callers' port by default.
constexpr seconds body_progress_time{120};
constexpr millis look_every{20};
// The same plan is appended again when its fate is not known; the second copy is void.
constexpr seconds append_again_after{2};
constexpr seconds give_up_after{10};

void reply(evhtp_request_t* request, evhtp_res status, const std::string& body, const char* type)
{
    evhtp_headers_add_header(request->headers_out, evhtp_header_new("Content-Type", type, 0, 0));
    evbuffer_add(request->buffer_out, body.data(), body.size());
    evhtp_send_reply(request, status);
}

// Names of requests and keys are callers' bytes and need not be UTF-8.
void reply(evhtp_request_t* request, evhtp_res status, const json& body)
{
    constexpr int indent = 2;
    reply(request, status, body.dump(indent, ' ', false, json::error_handler_t::replace) + "\n",
          "application/json");
}

evhtp_budget_options budget_of(const limit_settings& it)
{
    auto out = evhtp_budget_options_of({.memory = it.memory,
                                        .memory_share = it.operator_memory,
                                        .default_bytes = default_budget,
                                        .descriptors = it.descriptors,
                                        .descriptor_share = it.operator_descriptors});
    out.memory.progress_time = body_progress_time;
    return out;
}

std::string body_of(evhtp_request_t* request)
{
    std::string out;
    out.resize(evbuffer_get_length(request->buffer_in));
    evbuffer_remove(request->buffer_in, out.data(), out.size());
    return out;
}

} // namespace

struct operators_task::state
{
    /// A confirmation whose fate is awaited.
    struct waiting
    {
        evhtp_request_t* request{};
        plan_confirmed plan;
        instant since{};
        instant appended{};
        bool gone{};
    };

    state(event_loop& l, host_task& h)
        : loop(l), host(h), heads(l, max_head_bytes),
          budget(
              l, budget_of(h.settings().limits),
              [this](const char* what) {
                  ++host.metrics().counter("quincewing_operators_limited_total", {{"what", what}});
              }),
          look_timer(l, [this] { look(); })
    {
    }

    event_loop& loop;
    host_task& host;
    evhtp_head_limit heads;
    evhtp_budget budget;
    evhtp_t* server{};
    timer look_timer;
    std::list<waiting> confirmations;
    std::uint64_t plans_made{};
    bool closed{};

    static evhtp_res on_accept(evhtp_connection_t* connection, void* arg);
    static evhtp_res on_headers(evhtp_request_t* request, evhtp_headers_t* headers, void* arg);
    static evhtp_res on_connection_fini(evhtp_connection_t* connection, void* arg);
    /// Whether the complete request may be handled. If not it has its answer.
    bool admit(evhtp_request_t* request);
    void status(evhtp_request_t* request);
    void metrics(evhtp_request_t* request);
    void explain(evhtp_request_t* request);
    void make(evhtp_request_t* request);
    void confirm(evhtp_request_t* request);
    void look();
    bool settle(waiting& it);
    [[nodiscard]] planner_options options_for(const intent& what) const;

    template <void (state::*handler)(evhtp_request_t*)>
    void serve(const char* path)
    {
        const auto call = [](evhtp_request_t* request, void* arg) {
            auto& self = *static_cast<state*>(arg);
            if (!self.admit(request)) {
                return;
            }
            if (!self.loop.guard("operator page", [&] { (self.*handler)(request); })) {
                evhtp_send_reply(request, EVHTP_RES_SERVERR);
            }
        };
        evhtp_set_cb(server, path, call, this);
    }
};

evhtp_res operators_task::state::on_accept(evhtp_connection_t* connection, void* arg)
{
    auto& self = *static_cast<state*>(arg);
    if (!self.budget.accept(connection)) {
        return EVHTP_RES_ERROR;
    }
    self.heads.watch(connection);
    gather_bodies(connection);
    evhtp_connection_set_hook(connection, evhtp_hook_on_headers, as_evhtp_hook(on_headers), arg);
    evhtp_connection_set_hook(connection, evhtp_hook_on_connection_fini,
                              as_evhtp_hook(on_connection_fini), arg);
    return EVHTP_RES_OK;
}

evhtp_res operators_task::state::on_headers(evhtp_request_t* request, evhtp_headers_t*, void* arg)
{
    auto& self = *static_cast<state*>(arg);
    self.heads.on_headers(evhtp_request_get_connection(request));
    self.budget.on_headers(request);
    return EVHTP_RES_OK;
}

evhtp_res operators_task::state::on_connection_fini(evhtp_connection_t* connection, void* arg)
{
    auto& self = *static_cast<state*>(arg);
    self.heads.forget(connection);
    self.budget.forget(connection);
    return EVHTP_RES_OK;
}

bool operators_task::state::admit(evhtp_request_t* request)
{
    heads.on_request(evhtp_request_get_connection(request));
    if (budget.on_request(request)) {
        return true;
    }
    evhtp_budget::refuse(request, EVHTP_RES_SERVUNAVAIL);
    return false;
}

void operators_task::state::status(evhtp_request_t* request)
{
    reply(request, EVHTP_RES_OK, status_json(host));
}

void operators_task::state::metrics(evhtp_request_t* request)
{
    host.collect_metrics();
    reply(request, EVHTP_RES_OK, host.metrics().render(), "text/plain; version=0.0.4");
}

void operators_task::state::explain(evhtp_request_t* request)
{
    const auto name = body_of(request);
    const auto found = explain_json(host, name);
    if (found.is_null()) {
        reply(request, EVHTP_RES_NOTFOUND,
              json{{"error", "nothing is known of '" + name + "'"},
                   {"expected", "a request id, idempotency key, plan, server or service/key"}});
        return;
    }
    reply(request, EVHTP_RES_OK, found);
}

planner_options operators_task::state::options_for(const intent& what) const
{
    service_id service;
    if (const auto* it = std::get_if<add_intent>(&what)) {
        service = it->server.service;
    } else if (const auto* level = std::get_if<level_intent>(&what)) {
        service = level->service;
    }
    const auto* settings = host.service(service);
    const auto weights = settings == nullptr ? placement_weights{} : settings->weights;
    return {.weight_imbalance = weights.imbalance,
            .weight_churn = weights.churn,
            .weight_unavailable = weights.unavailable,
            .lost_servers = host.core().lost_servers()};
}

void operators_task::state::make(evhtp_request_t* request)
{
    const auto body = json::parse(body_of(request), nullptr, false);
    if (body.is_discarded()) {
        reply(request, EVHTP_RES_BADREQ, json{{"error", "the intent is not readable JSON"}});
        return;
    }
    const auto what = intent_from_json(body);
    if (!what) {
        reply(request, EVHTP_RES_BADREQ, json{{"error", what.error()}});
        return;
    }
    auto made = make_plan(host.core().state(), *what, {}, options_for(*what));
    if (!made) {
        reply(request, EVHTP_RES_CONFLICT, json{{"error", made.error()}});
        return;
    }
    const auto& self = host.core().options().self.value;
    const auto id = stable_hash(self + "#" + std::to_string(++plans_made));
    char buf[20];
    std::snprintf(buf, sizeof buf, "p%016llx", static_cast<unsigned long long>(id));
    made->record.plan = plan_id{buf};
    made->record.operator_name = operator_from_json(body);
    reply(request, EVHTP_RES_OK, to_json(*made, host.core().state()));
}

void operators_task::state::confirm(evhtp_request_t* request)
{
    const auto body = json::parse(body_of(request), nullptr, false);
    auto plan = body.is_discarded() ? tl::make_unexpected(std::string{"not readable JSON"})
                                    : plan_from_json(body);
    if (!plan) {
        reply(request, EVHTP_RES_BADREQ, json{{"error", plan.error()}});
        return;
    }
    const auto now = monotonic_now();
    confirmations.push_back({.request = request, .plan = std::move(*plan), .since = now});
    auto& it = confirmations.back();
    const auto on_fini = [](evhtp_request_t*, void* arg) -> evhtp_res {
        static_cast<waiting*>(arg)->gone = true;
        return EVHTP_RES_OK;
    };
    evhtp_request_set_hook(request, evhtp_hook_on_request_fini,
                           as_evhtp_hook(static_cast<evhtp_hook_request_fini_cb>(on_fini)), &it);
    evhtp_request_pause(request);
    look();
}

// Whether the confirmation has its answer. Nothing is acknowledged before it was read back.
bool operators_task::state::settle(waiting& it)
{
    if (it.gone) {
        return true;
    }
    const auto now = monotonic_now();
    const auto* fate = host.core().state().find_plan(it.plan.plan);
    json answer{{"plan", it.plan.plan.value}};
    evhtp_res status = EVHTP_RES_OK;
    if (fate != nullptr) {
        answer["accepted"] = fate->accepted;
        answer["reason"] = fate->reason;
        answer["offset"] = fate->offset;
        status = fate->accepted ? EVHTP_RES_OK : EVHTP_RES_CONFLICT;
    } else if (closed || now - it.since > give_up_after) {
        answer["error"] = "the log did not tell yet; the plan may still come into force: confirm "
                          "it again or explain it later";
        status = EVHTP_RES_GWTIMEOUT;
    } else {
        if (it.appended == instant{} || now - it.appended > append_again_after) {
            it.appended = now;
            host.append(it.plan);
        }
        return false;
    }
    evhtp_request_unset_hook(it.request, evhtp_hook_on_request_fini);
    reply(it.request, status, answer);
    evhtp_request_resume(it.request);
    return true;
}

void operators_task::state::look()
{
    std::erase_if(confirmations, [this](waiting& it) { return settle(it); });
    if (!confirmations.empty()) {
        look_timer.once(look_every);
    }
}

operators_task::operators_task(event_loop& loop, host_task& host)
    : state_(std::make_unique<state>(loop, host))
{
}

operators_task::~operators_task()
{
    if (state_->server != nullptr) {
        close();
        evhtp_free(state_->server);
    }
}

void operators_task::close()
{
    if (!state_->closed) {
        state_->closed = true;
        evhtp_unbind_socket(state_->server);
        state_->look();
    }
}

bool operators_task::start()
{
    const auto at = parse_endpoint(state_->host.settings().operators);
    state_->server = evhtp_new(state_->loop.base(), nullptr);
    evhtp_set_max_body_size(state_->server, largest_body);
    evhtp_set_post_accept_cb(state_->server, state::on_accept, state_.get());
    state_->serve<&state::status>("/status");
    state_->serve<&state::metrics>("/metrics");
    state_->serve<&state::explain>("/explain");
    state_->serve<&state::make>("/plan");
    state_->serve<&state::confirm>("/confirm");
    evhtp_set_gencb(
        state_->server,
        [](evhtp_request_t* request, void* arg) {
            if (static_cast<state*>(arg)->admit(request)) {
                evhtp_send_reply(request, EVHTP_RES_NOTFOUND);
            }
        },
        state_.get());
    return evhtp_bind_socket(state_->server, at.ip.c_str(), at.port, listen_backlog) == 0;
}

} // namespace quincewing
