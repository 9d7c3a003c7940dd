#include "quincewing/http/call_pool.hpp"

#include <algorithm>

namespace quincewing {

namespace {

constexpr millis sweep_period{500};

std::string request_head(const http_request& it)
{
    std::string out = it.method + " " + it.path + " HTTP/1.1\r\nHost: " + it.address + "\r\n";
    for (const auto& [name, value] : it.headers) {
        out += name;
        out += ": ";
        out += value;
        out += "\r\n";
    }
    if (!it.body.empty() || it.method != "GET") {
        out += "Content-Length: " + std::to_string(it.body.size()) + "\r\n";
    }
    return out + "\r\n";
}

} // namespace

struct call_pool::slot
{
    slot(event_loop& loop, std::string to, std::function<void()> on_timeout)
        : address(std::move(to)), timeout(loop, std::move(on_timeout))
    {
    }

    std::string address;
    std::unique_ptr<client_connection> connection;
    timer timeout;
    std::function<void(const http_answer&)> done;
    http_answer answer;
    std::uint64_t number{};
    bool over{};
};

call_pool::call_pool(event_loop& loop, call_pool_options options)
    : loop_(loop), options_(options), sweep_timer_(loop, [this] { sweep(); }),
      start_timer_(loop, [this] {
          for (auto& [address, state] : addresses_) {
              start_waiting(address);
          }
          ended_.clear();
      })
{
    sweep_timer_.every(sweep_period);
}

call_pool::~call_pool() = default;

void call_pool::call(http_request request, std::function<void(const http_answer&)> done)
{
    auto& state = addresses_[request.address];
    const auto deadline = monotonic_now() + request.timeout;
    state.waiting.push_back({std::move(request), std::move(done), deadline});
    start_timer_.soon();
}

bool call_pool::may_carry(const slot& it, const http_request& request)
{
    return !it.over && (request.newest_connection == 0 || it.number <= request.newest_connection);
}

void call_pool::start_waiting(const std::string& address)
{
    auto& state = addresses_[address];
    std::deque<waiting_call> kept;
    while (!state.waiting.empty()) {
        auto call = std::move(state.waiting.front());
        state.waiting.pop_front();
        const auto fits = [&](const auto& it) { return may_carry(*it, call.request); };
        const auto idle = std::find_if(state.slots.begin(), state.slots.end(),
                                       [&](const auto& it) { return fits(it) && !it->done; });
        if (idle != state.slots.end()) {
            start(**idle, std::move(call));
            continue;
        }
        const bool busy = std::any_of(state.slots.begin(), state.slots.end(), fits);
        const bool any = call.request.newest_connection == 0;
        if (any && state.slots.size() < options_.max_connections) {
            state.slots.push_back(std::make_unique<slot>(loop_, address, nullptr));
            state.slots.back()->number = ++last_number_;
            start(*state.slots.back(), std::move(call));
        } else if (any || busy) {
            kept.push_back(std::move(call));
        } else {
            call.done({.sent = false});
        }
    }
    for (auto& it : kept) {
        state.waiting.push_back(std::move(it));
    }
}

void call_pool::start(slot& it, waiting_call call)
{
    it.done = std::move(call.done);
    it.answer = {.connection = it.number};
    const auto left = std::max<duration>(call.deadline - monotonic_now(), millis{1});
    if (!it.connection) {
        it.connection = std::make_unique<client_connection>(
            loop_, client_connection_options{.address = it.address, .connect_timeout = left});
        it.connection->set_on_idle_close([&it] { it.over = true; });
    }
    auto* slot = &it;
    it.timeout.set([this, slot] {
        const bool sent = slot->connection->sent();
        slot->connection->abort();
        finish(*slot, {.sent = sent}, false);
    });
    it.timeout.once(left);
    it.connection->send(
        request_head(call.request), call.request.body, true,
        {.on_head =
             [slot](message_head& head) {
                 slot->answer.status = head.status;
                 for (auto& [name, value] : head.headers) {
                     slot->answer.headers[name] = value;
                 }
                 return head_action::accept;
             },
         .on_body =
             [this, slot](const char* buf, std::size_t n) {
                 if (slot->answer.body.size() + n <= options_.max_response_size) {
                     slot->answer.body.append(buf, n);
                 }
             },
         .on_end = [this, slot](bool reusable) { finish(*slot, slot->answer, reusable); },
         .on_lost =
             [this, slot](connection_loss how) {
                 finish(
                     *slot,
                     {.refused = how == connection_loss::refused, .sent = slot->connection->sent()},
                     false);
             }});
}

void call_pool::finish(slot& it, const http_answer& answer, bool keep)
{
    it.timeout.cancel();
    auto done = std::move(it.done);
    it.done = nullptr;
    auto& state = addresses_[it.address];
    if (!keep) {
        it.over = true;
        const auto found = std::find_if(state.slots.begin(), state.slots.end(),
                                        [&](const auto& s) { return s.get() == &it; });
        ended_.push_back(std::move(*found));
        state.slots.erase(found);
    }
    start_timer_.soon();
    done(answer);
}

// Idle connections that ended, or that the other side may end soon, make room.
void call_pool::sweep()
{
    const auto now = monotonic_now();
    for (auto& [address, state] : addresses_) {
        std::erase_if(state.slots, [&](const auto& it) {
            const bool idle = !it->done;
            return idle &&
                   (it->over || now - it->connection->last_response_at() > options_.max_idle);
        });
        while (!state.waiting.empty() && now > state.waiting.front().deadline) {
            auto call = std::move(state.waiting.front());
            state.waiting.pop_front();
            call.done({.sent = false});
        }
    }
    std::erase_if(addresses_, [](const auto& it) {
        return it.second.slots.empty() && it.second.waiting.empty();
    });
}

} // namespace quincewing
