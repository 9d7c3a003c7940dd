#include "quincewing/net/evhtp_budget.hpp"

#include "quincewing/net/socket_bytes.hpp"

#include <algorithm>
#include <cstdlib>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <optional>
#include <sys/resource.h>
#include <sys/socket.h>
#include <utility>
#include <vector>

namespace quincewing {

namespace {

// Estimated bytes of a connection, and of a request with its head and its state in the host.
constexpr std::uint64_t connection_overhead = 2UL * 1024;
constexpr std::uint64_t request_overhead = 4UL * 1024;
// While memory is short, and while it is not: reports of all connections take processor time.
constexpr millis short_check_period{50};
constexpr millis check_period{250};
// A connection that is closed with unread bytes is reset, and its client may miss the answer.
constexpr seconds refusal_stays{1};

enum class phase
{
    idle,
    head,
    body,
    handling,
};

bool has_body(evhtp_request_t* request)
{
    const auto* length = evhtp_header_find(request->headers_in, "Content-Length");
    return evhtp_header_find(request->headers_in, "Transfer-Encoding") != nullptr ||
           (length != nullptr && std::strtoull(length, nullptr, 10) > 0);
}

std::optional<std::uint64_t> announced_length(evhtp_request_t* request)
{
    if (evhtp_header_find(request->headers_in, "Transfer-Encoding") != nullptr) {
        return std::nullopt;
    }
    const auto* length = evhtp_header_find(request->headers_in, "Content-Length");
    return length == nullptr ? 0 : std::strtoull(length, nullptr, 10);
}

} // namespace

evhtp_budget_options evhtp_budget_options_of(const port_budget& it)
{
    evhtp_budget_options out{
        .memory = {.bytes = it.default_bytes},
        .descriptors = {.descriptors = it.descriptors, .caller_share = it.descriptor_share}};
    if (it.memory > 0) {
        const auto share = static_cast<double>(it.memory) * it.memory_share;
        out.memory.bytes = static_cast<std::uint64_t>(share);
    }
    rlimit allowed{};
    if (getrlimit(RLIMIT_NOFILE, &allowed) == 0) {
        auto& most = out.descriptors.descriptors;
        most = most == 0 ? allowed.rlim_cur : std::min<std::uint64_t>(most, allowed.rlim_cur);
    }
    return out;
}

struct evhtp_budget::connection
{
    evhtp_budget& owner;
    evhtp_connection_t* from;
    memory_holder id;
    phase in{phase::idle};
    /// When the phase began.
    instant since{};
    /// Bytes of the body of the request that is handled.
    std::uint64_t body{};
    std::optional<std::uint64_t> length;
    std::uint64_t received{};
    std::uint64_t sent{};
    /// Not read for lack of memory.
    bool paused{};
    /// Its body began when the budget was used up.
    bool without_room{};
    /// The budget has ended it.
    bool ended{};
    /// Its last request was refused; it is closed at this time.
    std::optional<instant> close_at;

    [[nodiscard]] bufferevent* bev() const { return evhtp_connection_get_bev(from); }
    void enter(phase next, instant now)
    {
        in = next;
        since = now;
    }
    /// Leaves the request's phase when its answer is complete.
    void update_phase(instant now);
    [[nodiscard]] memory_usage usage() const;
    [[nodiscard]] std::optional<quiet_connection> quiet() const;

    static void on_input(evbuffer*, const evbuffer_cb_info* info, void* arg)
    {
        auto& self = *static_cast<connection*>(arg);
        if (info->n_added > 0) {
            self.owner.on_input(self, info->n_added);
        }
    }
    static void on_output(evbuffer*, const evbuffer_cb_info* info, void* arg)
    {
        static_cast<connection*>(arg)->sent += info->n_deleted;
    }
};

void evhtp_budget::connection::update_phase(instant now)
{
    const auto* request = from->request;
    const bool answered = request == nullptr || (request->flags & EVHTP_REQ_FLAG_FINISHED) != 0;
    const bool begun = in == phase::body || in == phase::handling;
    if (begun && answered) {
        enter(phase::idle, now);
        body = 0;
    }
}

memory_usage evhtp_budget::connection::usage() const
{
    memory_usage out{.requests = connection_overhead};
    out.input = evbuffer_get_length(bufferevent_get_input(bev()));
    out.answers = evbuffer_get_length(bufferevent_get_output(bev()));
    out.received = received;
    out.sent = sent;
    out.receiving_head = in == phase::head;
    out.receiving_body = in == phase::body;
    out.handling = in == phase::handling;
    out.missing = 0;
    if (in != phase::idle) {
        out.requests += request_overhead;
    }
    if (out.receiving_body) {
        const auto bytes = evbuffer_get_length(from->request->buffer_in);
        out.requests += bytes;
        out.missing = length;
        if (length) {
            out.missing = *length - std::min<std::uint64_t>(*length, bytes + out.input);
        }
    }
    // A request that is handled has one more copy on its way to a server or another host.
    out.requests += 2 * body;
    return out;
}

std::optional<quiet_connection> evhtp_budget::connection::quiet() const
{
    if ((in != phase::idle && in != phase::head) || ended ||
        evbuffer_get_length(bufferevent_get_output(bev())) > 0 || unread_bytes(from->sock) > 0) {
        return std::nullopt;
    }
    return quiet_connection{.id = id, .since = since, .unfinished_head = in == phase::head};
}

evhtp_budget::evhtp_budget(event_loop& loop, const evhtp_budget_options& options,
                           std::function<void(const char*)> on_limited)
    : memory_(options.memory), descriptors_(options.descriptors),
      max_connections_(options.connections), on_limited_(std::move(on_limited)),
      check_timer_(loop, [this] { check(); }),
      refuse_timer_(loop, [this] { refuse_without_room(); })
{
    check_timer_.every(short_check_period);
}

evhtp_budget::~evhtp_budget() = default;

evhtp_budget::connection* evhtp_budget::find(memory_holder id) const
{
    const auto found = by_id_.find(id);
    return found == by_id_.end() ? nullptr : found->second;
}

bool evhtp_budget::accept(evhtp_connection_t* it)
{
    const auto now = monotonic_now();
    const auto n = connections_.size();
    if ((n >= max_connections_ || descriptors_.full(n)) && !make_room(now)) {
        on_limited_("connections_closed_at_accept");
        return false;
    }
    const memory_holder id{++last_id_};
    auto& added = connections_[it];
    added = std::make_unique<connection>(
        connection{.owner = *this, .from = it, .id = id, .since = now});
    by_id_[id] = added.get();
    evbuffer_add_cb(bufferevent_get_input(added->bev()), connection::on_input, added.get());
    evbuffer_add_cb(bufferevent_get_output(added->bev()), connection::on_output, added.get());
    return true;
}

bool evhtp_budget::make_room(instant now)
{
    if (!descriptors_.may_choose(now)) {
        return false;
    }
    std::vector<quiet_connection> quiet;
    for (const auto& [key, it] : connections_) {
        it->update_phase(now);
        if (const auto found = it->quiet()) {
            quiet.push_back(*found);
        }
    }
    const auto chosen = descriptors_.choose(now, std::move(quiet));
    for (const auto id : chosen) {
        if (auto* it = find(id)) {
            on_limited_("quiet_connections_closed");
            evhtp_connection_free(it->from);
        }
    }
    return !chosen.empty();
}

void evhtp_budget::forget(evhtp_connection_t* it)
{
    const auto found = connections_.find(it);
    if (found == connections_.end()) {
        return;
    }
    auto* held = found->second.get();
    evbuffer_remove_cb(bufferevent_get_input(held->bev()), connection::on_input, held);
    evbuffer_remove_cb(bufferevent_get_output(held->bev()), connection::on_output, held);
    memory_.remove(held->id);
    by_id_.erase(held->id);
    connections_.erase(found);
}

void evhtp_budget::report(instant now, connection& it)
{
    it.update_phase(now);
    if (!it.ended) {
        memory_.update(now, it.id, it.usage());
    }
}

// Called before the library handles the bytes, which are at most those of one read. A pause holds
// from the next read on.
void evhtp_budget::on_input(connection& it, std::size_t bytes)
{
    const auto now = monotonic_now();
    it.received += bytes;
    it.update_phase(now);
    if (it.in == phase::idle) {
        it.enter(phase::head, now);
    }
    report(now, it);
    if (!it.paused && !it.ended && !memory_.may_read(it.id)) {
        it.paused = true;
        bufferevent_disable(it.bev(), EV_READ);
    }
}

void evhtp_budget::on_headers(evhtp_request_t* request)
{
    const auto found = connections_.find(evhtp_request_get_connection(request));
    if (found == connections_.end()) {
        return;
    }
    auto& it = *found->second;
    it.enter(phase::body, monotonic_now());
    it.body = 0;
    it.length = announced_length(request);
    it.without_room = has_body(request) && !memory_.has_room();
    if (it.without_room) {
        // The library can't be told to refuse a request while it parses it.
        refuse_timer_.soon();
    }
}

bool evhtp_budget::on_request(evhtp_request_t* request)
{
    const auto found = connections_.find(evhtp_request_get_connection(request));
    if (found == connections_.end()) {
        return true;
    }
    auto& it = *found->second;
    const auto now = monotonic_now();
    it.enter(phase::handling, now);
    it.body = evbuffer_get_length(request->buffer_in);
    if (it.paused) {
        // The budget counts a connection as paused until it resumes or removes it.
        it.paused = false;
        memory_.remove(it.id);
        bufferevent_enable(it.bev(), EV_READ);
    }
    report(now, it);
    const bool room = !std::exchange(it.without_room, false);
    if (!room) {
        on_limited_("bodies_without_room");
        it.close_at = now + refusal_stays;
    }
    return room;
}

void evhtp_budget::refuse(evhtp_request_t* request, evhtp_res status)
{
    evhtp_request_set_keepalive(request, 0);
    evhtp_headers_add_header(request->headers_out,
                             evhtp_header_new("Quincewing-Verdict", "not_run", 0, 0));
    if (status == EVHTP_RES_SERVUNAVAIL) {
        // Others may wait for memory as well, so the client should not return at once.
        evhtp_headers_add_header(request->headers_out, evhtp_header_new("Retry-After", "1", 0, 0));
    }
    evhtp_send_reply(request, status);
}

// The library's state of a request without a complete head does not allow an answer.
void evhtp_budget::end_unfinished(connection& it, evhtp_res status)
{
    it.ended = true;
    memory_.remove(it.id);
    if (it.in != phase::body) {
        evhtp_connection_free(it.from);
        return;
    }
    it.close_at = monotonic_now() + refusal_stays;
    bufferevent_disable(it.bev(), EV_READ);
    auto* body = it.from->request->buffer_in;
    evbuffer_drain(body, evbuffer_get_length(body));
    refuse(it.from->request, status);
}

void evhtp_budget::refuse_without_room()
{
    const auto now = monotonic_now();
    std::vector<connection*> refused;
    for (const auto& [key, it] : connections_) {
        it->update_phase(now);
        if (it->without_room && it->in == phase::body && !it->ended) {
            refused.push_back(it.get());
        }
    }
    for (auto* it : refused) {
        on_limited_("bodies_without_room");
        end_unfinished(*it, EVHTP_RES_SERVUNAVAIL);
    }
}

void evhtp_budget::close_refused(instant now)
{
    std::vector<evhtp_connection_t*> closed;
    for (const auto& [key, it] : connections_) {
        if (it->close_at && now >= *it->close_at) {
            closed.push_back(key);
        }
    }
    for (auto* it : closed) {
        evhtp_connection_free(it);
    }
}

void evhtp_budget::check()
{
    const auto now = monotonic_now();
    if (!memory_.memory_short() && now < next_check_) {
        return;
    }
    next_check_ = now + check_period;
    close_refused(now);
    for (const auto& [key, it] : connections_) {
        report(now, *it);
    }
    apply(memory_.decide(now));
}

void evhtp_budget::apply(const memory_actions& actions)
{
    const auto each = [this](const std::vector<memory_holder>& ids, const char* what,
                             const std::function<void(connection&)>& action) {
        for (const auto id : ids) {
            if (auto* it = find(id)) {
                on_limited_(what);
                action(*it);
            }
        }
    };
    each(actions.refuse, "refused",
         [this](connection& it) { end_unfinished(it, EVHTP_RES_SERVUNAVAIL); });
    each(actions.too_slow, "too_slow",
         [this](connection& it) { end_unfinished(it, EVHTP_RES_TIMEOUT); });
    // The library ends the connection, and the request if one is handled, at the next write.
    each(actions.close, "unread_answers_closed", [](connection& it) {
        it.ended = true;
        shutdown(it.from->sock, SHUT_RDWR);
    });
    each(actions.resume, "resumed", [](connection& it) {
        it.paused = false;
        bufferevent_enable(it.bev(), EV_READ);
    });
}

} // namespace quincewing
