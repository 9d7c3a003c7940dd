#include "quincewing/http/call_pool.hpp"

#include "call_support.hpp"

#include <algorithm>

namespace quincewing {

namespace {

constexpr millis cleanup_period{500};

} // namespace

struct call_pool::pooled_connection
{
    pooled_connection(event_loop& loop, std::string to, std::function<void()> on_timeout)
        : address(std::move(to)), timeout(loop, std::move(on_timeout))
    {
    }

    std::string address;
    std::unique_ptr<client_connection> connection;
    timer timeout;
    std::function<void(const http_answer&)> done;
    http_answer answer;
    std::uint64_t number{};
    bool closed{};
};

call_pool::call_pool(event_loop& loop, call_pool_options options)
    : loop_(loop), options_(std::move(options)), cleanup_timer_(loop, [this] { remove_expired(); }),
      start_timer_(loop, [this] {
          for (auto& [address, state] : addresses_) {
              start_pending(address);
          }
          closed_.clear();
      })
{
    cleanup_timer_.every(cleanup_period);
}

call_pool::~call_pool() = default;

void call_pool::call(http_request request, std::function<void(const http_answer&)> done)
{
    auto& state = addresses_[request.address];
    const auto deadline = monotonic_now() + request.timeout;
    state.pending.push_back({std::move(request), std::move(done), deadline});
    start_timer_.soon();
}

bool call_pool::may_carry(const pooled_connection& it, const http_request& request)
{
    return !it.closed && !request.own_connection &&
           (request.newest_connection == 0 || it.number <= request.newest_connection);
}

// A call that has waited for a connection until its time was over is not sent.
void call_pool::end_expired(std::deque<pending_call>& pending)
{
    const auto now = monotonic_now();
    std::deque<pending_call> kept;
    std::vector<pending_call> expired;
    for (auto& it : pending) {
        if (now > it.deadline) {
            expired.push_back(std::move(it));
        } else {
            kept.push_back(std::move(it));
        }
    }
    pending = std::move(kept);
    for (const auto& it : expired) {
        it.done({.sent = false});
    }
}

void call_pool::start_pending(const std::string& address)
{
    auto& state = addresses_[address];
    end_expired(state.pending);
    std::deque<pending_call> kept;
    while (!state.pending.empty()) {
        auto call = std::move(state.pending.front());
        state.pending.pop_front();
        const auto fits = [&](const auto& it) { return may_carry(*it, call.request); };
        const auto idle = std::find_if(state.connections.begin(), state.connections.end(),
                                       [&](const auto& it) { return fits(it) && !it->done; });
        if (idle != state.connections.end()) {
            start(**idle, std::move(call));
            continue;
        }
        const bool busy = std::any_of(state.connections.begin(), state.connections.end(), fits);
        const bool any = call.request.newest_connection == 0;
        const auto limit = options_.max_connections + (call.request.own_connection ? 1 : 0);
        if (any && state.connections.size() < limit) {
            state.connections.push_back(
                std::make_unique<pooled_connection>(loop_, address, nullptr));
            state.connections.back()->number = ++last_connection_number_;
            start(*state.connections.back(), std::move(call));
        } else if (any || busy) {
            kept.push_back(std::move(call));
        } else {
            call.done({.sent = false});
        }
    }
    for (auto& it : kept) {
        state.pending.push_back(std::move(it));
    }
}

void call_pool::start(pooled_connection& it, pending_call call)
{
    it.done = std::move(call.done);
    it.answer = {.connection = it.number, .first_on_connection = !it.connection};
    const auto left = std::max<duration>(call.deadline - monotonic_now(), millis{1});
    if (!it.connection) {
        it.connection = std::make_unique<client_connection>(
            loop_, client_connection_options{.address = it.address,
                                             .from = options_.from,
                                             .max_head = options_.max_response_head,
                                             .connect_timeout = left});
        it.connection->set_on_idle_close([&it] { it.closed = true; });
    }
    auto* pooled = &it;
    it.timeout.set([this, pooled] {
        const bool sent = pooled->connection->sent();
        pooled->connection->abort();
        finish(*pooled, {.connect_failed = !sent, .sent = sent}, false);
    });
    it.timeout.once(left);
    it.connection->send(
        call_head(call.request), call.request.body, true,
        {.on_head =
             [pooled, limit = options_.max_response_size](message_head& head) {
                 pooled->connection->set_body_limit(limit);
                 pooled->answer.status = head.status;
                 for (auto& [name, value] : head.headers) {
                     pooled->answer.headers[name] = value;
                 }
                 return head_action::accept;
             },
         .on_body = [pooled](const char* buf,
                             std::size_t n) { pooled->answer.body.append(buf, n); },
         .on_end = [this, pooled](bool reusable) { finish(*pooled, pooled->answer, reusable); },
         .on_lost =
             [this, pooled](connection_loss how) {
                 finish(*pooled,
                        {.refused = how == connection_loss::refused,
                         .connect_failed = how == connection_loss::refused ||
                                           how == connection_loss::not_connected,
                         .sent = pooled->connection->sent()},
                        false);
             }});
}

void call_pool::finish(pooled_connection& it, const http_answer& answer, bool keep)
{
    it.timeout.cancel();
    auto done = std::move(it.done);
    it.done = nullptr;
    if (!keep) {
        remove(it);
    }
    start_timer_.soon();
    const auto number = it.number;
    tell_answer(loop_, done, answer);
    if (!keep && on_closed_) {
        on_closed_(number);
    }
}

void call_pool::remove(const pooled_connection& it)
{
    auto& state = addresses_[it.address];
    const auto found = std::find_if(state.connections.begin(), state.connections.end(),
                                    [&](const auto& c) { return c.get() == &it; });
    (*found)->closed = true;
    closed_.push_back(std::move(*found));
    state.connections.erase(found);
}

void call_pool::close(const std::string& address, std::uint64_t connection)
{
    auto& state = addresses_[address];
    const auto found =
        std::find_if(state.connections.begin(), state.connections.end(),
                     [&](const auto& it) { return it->number == connection && !it->done; });
    if (found == state.connections.end()) {
        return;
    }
    (*found)->connection->abort();
    remove(**found);
    start_timer_.soon();
    if (on_closed_) {
        on_closed_(connection);
    }
}

// Removes idle connections that were closed, or that the server may be about to close, and fails
// queued calls whose deadline has passed.
void call_pool::remove_expired()
{
    const auto now = monotonic_now();
    for (auto& [address, state] : addresses_) {
        std::erase_if(state.connections, [&](const auto& it) {
            const bool idle = !it->done;
            const bool expired = idle && (it->closed || now - it->connection->last_response_at() >
                                                            options_.max_idle);
            if (expired && on_closed_) {
                on_closed_(it->number);
            }
            return expired;
        });
        end_expired(state.pending);
    }
    std::erase_if(addresses_, [](const auto& it) {
        return it.second.connections.empty() && it.second.pending.empty();
    });
}

} // namespace quincewing
