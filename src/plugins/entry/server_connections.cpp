#include "server_connections.hpp"

#include <algorithm>

namespace quincewing {

namespace {

// Kept low because servers accept only a few connections.
constexpr std::size_t max_idle_per_server = 3;
// For servers that do not send a Keep-Alive timeout.
constexpr seconds default_keep_alive_timeout{8};
// Servers are in the same region: an attempt that takes longer gets nowhere, and another server or
// another host still has time to answer.
constexpr millis connect_timeout{250};

} // namespace

server_connections::server_connections(host_context context)
    : context_(std::move(context)), discard_timer_(context_.loop, [this] { discarded_.clear(); }),
      opened_total_(context_.metrics.counter("quincewing_server_connections_total"))
{
}

// A connection goes silent where its path is cut, but also where a full link holds acknowledgements
// back: the server may be at work. So only a request that can be repeated ends with it; all others
// have their deadline. A server that reads a long body slowly looks silent for a while.
duration server_connections::silence_timeout(bool may_repeat, std::size_t body_bytes)
{
    constexpr millis short_body_timeout{600};
    constexpr seconds long_body_timeout{4};
    constexpr std::size_t long_body = 16UL * 1024;
    constexpr seconds longer_than_deadlines{60};
    if (!may_repeat) {
        return longer_than_deadlines;
    }
    return body_bytes < long_body ? duration{short_body_timeout} : long_body_timeout;
}

bool server_connections::usable(instant now, const server_connection& it, duration max_idle)
{
    return !it.closed() && !expired(now, it) && now - it.last_response_at() < max_idle;
}

bool server_connections::has_idle(const std::string& address, duration max_idle) const
{
    const auto now = monotonic_now();
    const auto found = idle_.find(address);
    return found != idle_.end() &&
           std::any_of(found->second.begin(), found->second.end(),
                       [&](const auto& it) { return usable(now, *it, max_idle); });
}

void server_connections::drop_unused_since(const std::string& address, instant since)
{
    auto& idle = idle_[address];
    for (auto& it : idle) {
        if (it->last_response_at() < since) {
            discard(std::move(it));
        }
    }
    std::erase_if(idle, [](const auto& it) { return it == nullptr; });
}

std::unique_ptr<server_connection>
server_connections::acquire(const std::string& address, duration max_idle, std::uint64_t request)
{
    const auto now = monotonic_now();
    auto& idle = idle_[address];
    for (auto i = idle.size(); i-- > 0;) {
        if (usable(now, *idle[i], max_idle) && idle[i]->refused.contains(request)) {
            continue;
        }
        auto it = std::move(idle[i]);
        idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i));
        if (usable(now, *it, max_idle)) {
            it->set_on_idle_close(nullptr);
            return it;
        }
        discard(std::move(it));
    }
    ++opened_total_;
    return std::make_unique<server_connection>(
        context_.loop, client_connection_options{.address = address,
                                                 .from = context_.settings.servers_from,
                                                 .connect_timeout = connect_timeout});
}

void server_connections::release(std::unique_ptr<server_connection> it)
{
    auto& idle = idle_[it->address()];
    if (it->closed() || it->refused.full() || idle.size() >= max_idle_per_server) {
        discard(std::move(it));
        return;
    }
    idle.push_back(std::move(it));
}

void server_connections::discard(std::unique_ptr<server_connection> it)
{
    it->set_on_idle_close(nullptr);
    discarded_.push_back(std::move(it));
    discard_timer_.soon();
}

// Leaves a margin before the server's timeout: otherwise the server may close the connection while
// a request is in flight.
bool server_connections::expired(instant now, const server_connection& it)
{
    const auto timeout = it.keep_alive_timeout() > duration{0}
                             ? it.keep_alive_timeout()
                             : duration{default_keep_alive_timeout};
    return now - it.last_response_at() > timeout * 3 / 4;
}

void server_connections::tick(instant now)
{
    for (auto& [address, idle] : idle_) {
        for (auto& it : idle) {
            if (it->closed() || expired(now, *it)) {
                discard(std::move(it));
            }
        }
        std::erase_if(idle, [](const auto& it) { return it == nullptr; });
    }
    std::erase_if(idle_, [](const auto& it) { return it.second.empty(); });
}

std::size_t server_connections::idle_count() const
{
    std::size_t n = 0;
    for (const auto& [address, idle] : idle_) {
        n += idle.size();
    }
    return n;
}

} // namespace quincewing
