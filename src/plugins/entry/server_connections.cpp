#include "server_connections.hpp"

#include <algorithm>

namespace quincewing {

namespace {

// Idle connections of one host to one server; each takes a place of the server's few.
constexpr std::size_t idle_per_server = 3;
// Servers that do not say how long they keep idle connections are held to keep them this long.
constexpr seconds assumed_kept{8};
constexpr millis connect_time{700};

} // namespace

server_connections::server_connections(host_context context)
    : context_(std::move(context)), discard_timer_(context_.loop, [this] { discarded_.clear(); }),
      opened_(context_.metrics.counter("quincewing_server_connections_total"))
{
}

std::unique_ptr<client_connection> server_connections::acquire(const std::string& address,
                                                               duration longest_idle)
{
    const auto now = monotonic_now();
    auto& idle = idle_[address];
    while (!idle.empty()) {
        auto it = std::move(idle.back());
        idle.pop_back();
        if (!it->closed() && !stale(now, *it) && now - it->last_response_at() < longest_idle) {
            it->set_on_idle_close(nullptr);
            return it;
        }
        discard(std::move(it));
    }
    ++opened_;
    return std::make_unique<client_connection>(
        context_.loop,
        client_connection_options{.address = address, .connect_timeout = connect_time});
}

void server_connections::release(std::unique_ptr<client_connection> it)
{
    auto& idle = idle_[it->address()];
    if (it->closed() || idle.size() >= idle_per_server) {
        discard(std::move(it));
        return;
    }
    idle.push_back(std::move(it));
}

void server_connections::discard(std::unique_ptr<client_connection> it)
{
    it->set_on_idle_close(nullptr);
    discarded_.push_back(std::move(it));
    discard_timer_.soon();
}

// The server may close it at the end of its time, just when a request is on its way.
bool server_connections::stale(instant now, const client_connection& it)
{
    const auto kept =
        it.keep_alive_timeout() > duration{0} ? it.keep_alive_timeout() : duration{assumed_kept};
    return now - it.last_response_at() > kept * 3 / 4;
}

void server_connections::tick(instant now)
{
    for (auto& [address, idle] : idle_) {
        for (auto& it : idle) {
            if (it->closed() || stale(now, *it)) {
                discard(std::move(it));
            }
        }
        std::erase_if(idle, [](const auto& it) { return it == nullptr; });
    }
    std::erase_if(idle_, [](const auto& it) { return it.second.empty(); });
}

std::size_t server_connections::idle() const
{
    std::size_t n = 0;
    for (const auto& [address, idle] : idle_) {
        n += idle.size();
    }
    return n;
}

} // namespace quincewing
