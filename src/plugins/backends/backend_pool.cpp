#include "quincewing/backends/backend_pool.hpp"

#include "backend_connection.hpp"

#include "quincewing/http/http_call.hpp"

#include <algorithm>
#include <cstdlib>
#include <sstream>

namespace quincewing {

namespace {

command_reply to_reply(const http_answer& answer)
{
    if (answer.status == 0) {
        return {.result =
                    answer.refused ? command_result::process_gone : command_result::no_answer};
    }
    command_reply out{.result =
                          answer.status == 409 ? command_result::fenced : command_result::done};
    const auto clock = answer.headers.find("Quincewing-Clock");
    if (clock != answer.headers.end()) {
        out.server_clock = std::strtoull(clock->second.c_str(), nullptr, 10);
    }
    return out;
}

} // namespace

backend_pool::backend_pool(event_loop& loop, server_id server, std::string address,
                           backend_options options, done_hook done)
    : loop_(loop), server_(std::move(server)), address_(std::move(address)), options_(options),
      done_(std::move(done)), drop_timer_(loop, [this] { dropped_.clear(); }),
      limit_timer_(loop, [this] { end_excessive(monotonic_now()); }),
      alive_(std::make_shared<bool>(true))
{
}

backend_pool::~backend_pool()
{
    *alive_ = false;
}

void backend_pool::send(const exchange_ptr& it, const fence& at)
{
    ++counts_.requests;
    start({.it = it, .at = at});
}

// The newest answer first, so that unused connections grow old and are closed.
backend_connection* backend_pool::pick(instant now, bool idempotent)
{
    backend_connection* best = nullptr;
    for (const auto& it : connections_) {
        const bool good = !it->busy() && it->used() && !it->over_limit() &&
                          (idempotent || now - it->last_answer() <= options_.fresh);
        if (good && (best == nullptr || it->last_answer() > best->last_answer())) {
            best = it.get();
        }
    }
    return best;
}

void backend_pool::start(const waiting& it)
{
    const auto now = monotonic_now();
    // A kept connection may have been lost track of like the one that failed.
    auto* connection = it.retried ? nullptr : pick(now, it.it->request.idempotent);
    if (connection == nullptr) {
        connection = open_connection();
    }
    if (connection == nullptr) {
        waiting_.push_back(it);
        return;
    }
    connection->send(it, now);
}

backend_connection* backend_pool::open_connection()
{
    if (connections_.size() >= options_.max_connections) {
        const auto idle = std::find_if(connections_.begin(), connections_.end(),
                                       [](const auto& it) { return !it->busy(); });
        if (idle == connections_.end()) {
            return nullptr;
        }
        drop(**idle);
    }
    connections_.push_back(std::make_unique<backend_connection>(loop_, *this, address_));
    ++counts_.connections_opened;
    return connections_.back().get();
}

backend_connection* backend_pool::duplicate_of(const backend_connection& it) const
{
    const auto found = std::find_if(connections_.begin(), connections_.end(), [&](const auto& c) {
        return c.get() != &it && c->busy() && c->current().it == it.current().it;
    });
    return found == connections_.end() ? nullptr : found->get();
}

void backend_pool::on_head(backend_connection& from)
{
    auto* duplicate = duplicate_of(from);
    if (duplicate == nullptr) {
        return;
    }
    counts_.connections_silent += duplicate->checked ? 1 : 0;
    duplicate->aborted = true;
    drop(*duplicate);
}

void backend_pool::pump()
{
    while (!waiting_.empty()) {
        const bool room = connections_.size() < options_.max_connections ||
                          std::any_of(connections_.begin(), connections_.end(),
                                      [](const auto& it) { return !it->busy(); });
        if (!room) {
            return;
        }
        const auto it = waiting_.front();
        waiting_.pop_front();
        start(it);
    }
}

void backend_pool::on_answered(backend_connection& from)
{
    budget_.on_success();
    const auto it = from.current();
    const auto result = from.result();
    const bool other_runs = duplicate_of(from) != nullptr;
    from.current() = {};
    if (result.shed) {
        // Responses bear no ids: if the server wrote the refusal once more, the next request on the
        // connection would take it for its own.
        drop(from);
    }
    if (from.aborted) {
        ++counts_.late_answers;
        return;
    }
    if (other_runs) {
        // The server did not take the second one.
        pump();
        return;
    }
    if (result.verdict == verdict::ran && it.it->on_end) {
        it.it->on_end(true);
    }
    done_(it.it, result);
    pump();
}

void backend_pool::on_broken(backend_connection& from)
{
    ++counts_.connections_broken;
    const auto it = from.current();
    const bool handed = from.handed();
    const bool aborted = from.aborted;
    const bool head = from.head_received();
    const bool other_runs = duplicate_of(from) != nullptr;
    drop(from);
    if (aborted) {
        return;
    }
    if (other_runs) {
        pump();
        return;
    }
    if (head) {
        if (it.it->on_end) {
            it.it->on_end(false);
        }
        done_(it.it, {.verdict = verdict::unknown});
        pump();
        return;
    }
    // Whether the server's process is gone tells a crash from a lost connection.
    probe([this, it, handed](bool /*answered*/, bool refused) {
        finish_broken(it, handed, refused);
    });
}

void backend_pool::finish_broken(const waiting& it, bool handed, bool crashed)
{
    const bool may_retry = it.it->request.idempotent && !it.retried && !crashed &&
                           monotonic_now() < it.it->request.deadline;
    if ((may_retry && budget_.try_spend())) {
        ++counts_.retries;
        auto again = it;
        again.retried = true;
        start(again);
        return;
    }
    counts_.crashes += crashed && handed ? 1 : 0;
    done_(it.it, {.verdict = handed ? verdict::unknown : verdict::not_run,
                  .server_crashed = crashed && handed});
    pump();
}

void backend_pool::drop(backend_connection& it)
{
    const auto found = std::find_if(connections_.begin(), connections_.end(),
                                    [&](const auto& c) { return c.get() == &it; });
    if (found == connections_.end()) {
        return;
    }
    // It may be on the stack of its own callback: freed after that.
    dropped_.push_back(std::move(*found));
    connections_.erase(found);
    drop_timer_.soon();
}

void backend_pool::abort(request_id id)
{
    const auto running =
        std::find_if(connections_.begin(), connections_.end(),
                     [&](const auto& it) { return it->busy() && it->current().it->id == id; });
    if (running != connections_.end()) {
        abort_running(**running);
        return;
    }
    const auto found = std::find_if(waiting_.begin(), waiting_.end(),
                                    [&](const auto& it) { return it.it->id == id; });
    if (found != waiting_.end()) {
        const auto exchange = found->it;
        waiting_.erase(found);
        done_(exchange, {.verdict = verdict::not_run});
    }
}

void backend_pool::abort_running(backend_connection& it)
{
    const auto exchange = it.current().it;
    auto* duplicate = duplicate_of(it);
    const bool handed = it.handed() || (duplicate != nullptr && duplicate->handed());
    exchange->resume = nullptr;
    it.aborted = true;
    drop(it);
    if (duplicate != nullptr) {
        duplicate->aborted = true;
        drop(*duplicate);
    }
    done_(exchange, {.verdict = handed ? verdict::unknown : verdict::not_run});
    pump();
}

void backend_pool::probe(std::function<void(bool, bool)> done)
{
    http_request request{
        .address = address_, .path = "/quincewing/health", .timeout = options_.command_timeout};
    http_call(loop_, request, [alive = alive_, done = std::move(done)](const http_answer& answer) {
        if (*alive) {
            done(answer.status != 0, answer.refused);
        }
    });
}

void backend_pool::command(const server_command& it, std::function<void(const command_reply&)> done)
{
    std::ostringstream body;
    body << "lease_us " << it.lease.count() << " until " << it.until << "\n";
    for (const auto& item : it.items) {
        body << item.shard.service.value << " " << item.shard.number << " " << item.fence.offset
             << " " << item.fence.round << "\n";
    }
    const bool orders = !it.items.empty();
    http_request request{.method = orders ? "POST" : "GET",
                         .address = address_,
                         .path = it.kind == command_kind::revoke ? "/quincewing/revoke"
                                 : orders                        ? "/quincewing/grant"
                                                                 : "/quincewing/health",
                         .body = orders ? body.str() : "",
                         .timeout = options_.command_timeout};
    http_call(loop_, request, [alive = alive_, done = std::move(done)](const http_answer& answer) {
        if (!*alive) {
            return;
        }
        done(to_reply(answer));
    });
}

// A late request may be on a connection that something in between has lost track of, or its server
// may be at work on it. When a new connection answers, the request is sent on one as well.
void backend_pool::check_silent(backend_connection& it)
{
    it.checking = true;
    auto* connection = &it;
    const auto id = it.current().it->id;
    probe([this, connection, id](bool answered, bool /*refused*/) {
        const auto found = std::find_if(connections_.begin(), connections_.end(),
                                        [&](const auto& c) { return c.get() == connection; });
        if (found == connections_.end() || !connection->busy() ||
            connection->current().it->id != id) {
            return;
        }
        connection->checking = false;
        connection->checked = true;
        if (answered && !connection->head_received()) {
            send_twice(*connection);
        }
    });
}

void backend_pool::send_twice(backend_connection& late)
{
    const auto now = monotonic_now();
    auto& current = late.current();
    if (now >= current.it->request.deadline || !budget_.try_spend()) {
        return;
    }
    auto* other = open_connection();
    if (other == nullptr) {
        return;
    }
    ++counts_.retries;
    current.retried = true;
    other->send(current, now);
}

bool backend_pool::answers_unread() const
{
    return std::any_of(connections_.begin(), connections_.end(),
                       [](const auto& it) { return it->busy() && it->unread(); });
}

void backend_pool::sweep(instant now)
{
    std::vector<backend_connection*> old;
    end_excessive(now);
    for (const auto& it : connections_) {
        if (!it->busy()) {
            if (now - it->last_answer() > options_.idle) {
                old.push_back(it.get());
            }
            continue;
        }
        const bool late = now - it->sent_at() > options_.late && !it->head_received();
        // A new connection cannot be silent by having been forgotten.
        const bool may_repeat = it->current().it->request.idempotent && !it->current().retried;
        if (late && it->used() && may_repeat && !it->checking && !it->checked) {
            check_silent(*it);
        }
    }
    for (auto* it : old) {
        drop(*it);
    }
}

void backend_pool::end_excessive(instant now)
{
    std::vector<backend_connection*> ended;
    for (const auto& it : connections_) {
        if (it->overdue(now) || it->over_limit()) {
            ended.push_back(it.get());
        }
    }
    for (auto* it : ended) {
        if (!it->busy()) {
            // The answer ended within the read that went beyond the limit.
            drop(*it);
            continue;
        }
        it->current().it->resume = nullptr;
        on_broken(*it);
    }
}

} // namespace quincewing
