#include "crash_exchange.hpp"

#include "quincewing/base/hash.hpp"

namespace quincewing {

namespace {

// One small message in each period, whatever the number of hosts.
constexpr seconds digest_period{1};

} // namespace

crash_exchange::crash_exchange(host_context context, peers_task& peers)
    : context_(std::move(context)), peers_(peers),
      random_(static_cast<std::uint32_t>(stable_hash(context_.self.value)))
{
}

void crash_exchange::on_host_connected(const host_id& host)
{
    tell_digest(host, monotonic_now());
}

void crash_exchange::tick(instant now)
{
    tell_findings();
    if (now < next_digest_) {
        return;
    }
    next_digest_ = now + digest_period;
    const auto hosts = peers_.connected_hosts();
    if (!hosts.empty()) {
        std::uniform_int_distribution<std::size_t> any{0, hosts.size() - 1};
        tell_digest(hosts[any(random_)], now);
    }
}

void crash_exchange::tell_findings()
{
    const auto report = guard_.take_findings();
    if (!report) {
        return;
    }
    for (const auto& host : peers_.connected_hosts()) {
        peers_.send(host, *report);
    }
}

void crash_exchange::tell_digest(const host_id& to, instant now)
{
    peers_.send(to, crash_digest{.value = guard_.digest(now)});
}

// Without a link back the report would be lost. When that link is made, its digest is told there.
void crash_exchange::on_message(const host_id& from, const crash_digest& it)
{
    if (!peers_.connected(from)) {
        return;
    }
    if (const auto report = guard_.on_digest(monotonic_now(), it.value)) {
        peers_.send(from, *report);
    }
}

void crash_exchange::on_message(const host_id& from, const crash_report& it)
{
    if (const auto reply = guard_.on_report(monotonic_now(), it)) {
        peers_.send(from, *reply);
    }
}

} // namespace quincewing
