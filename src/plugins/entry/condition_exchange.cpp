#include "condition_exchange.hpp"

#include "quincewing/base/hash.hpp"
#include "quincewing/logging/event_log.hpp"

#include <algorithm>
#include <sstream>

namespace quincewing {

namespace {

// Bounds the messages while servers change their limits with each answer.
constexpr millis report_period{100};
constexpr seconds cleanup_period{1};
// One small message in each period, whatever the number of hosts.
constexpr seconds digest_period{1};

std::string text_of(request_rate it)
{
    std::ostringstream out;
    out << it.value;
    return out.str();
}

} // namespace

condition_exchange::condition_exchange(host_context context, peers_task& peers,
                                       condition_exchange_hooks hooks)
    : context_(std::move(context)), peers_(peers), hooks_(std::move(hooks)),
      random_(static_cast<std::uint32_t>(stable_hash(context_.self.value)))
{
}

void condition_exchange::on_host_connected(const host_id& host)
{
    tell_digest(host);
}

void condition_exchange::tell_digest(const host_id& to)
{
    peers_.send(to, server_condition_digest{.value = context_.view.conditions().digest()});
}

void condition_exchange::tell_digest_to_one(instant now)
{
    if (now < next_digest_) {
        return;
    }
    next_digest_ = now + digest_period;
    const auto& hosts = peers_.connected_hosts();
    if (!hosts.empty()) {
        std::uniform_int_distribution<std::size_t> any{0, hosts.size() - 1};
        tell_digest(hosts[any(random_)]);
    }
}

// Without a link back the request would be lost. When that link is made, a digest is told there,
// and the host asks in its turn.
void condition_exchange::on_message(const host_id& from, const server_condition_digest& it)
{
    auto& conditions = context_.view.conditions();
    if (peers_.connected(from) && conditions.on_digest(monotonic_now(), it.value)) {
        peers_.send(from, server_condition_request{});
    }
}

void condition_exchange::on_message(const host_id& from, const server_condition_request&)
{
    peers_.send(from, context_.view.conditions().report_all(monotonic_now()));
}

void condition_exchange::on_notice(const backend_server& process, instant sent_at,
                                   const server_notice& notice)
{
    if (!notice.unreadable.empty()) {
        log_event("notice_unreadable",
                  {{"server", process.id.value}, {"header", notice.unreadable}});
    }
    const std::map<server_id, shared_condition> before{{process.id, condition_of(process.id)}};
    const auto change =
        context_.view.conditions().on_notice(monotonic_now(), process, sent_at, notice);
    if (change.shared) {
        tell_changes(before);
    }
    if (change.rest_began) {
        log_event("server_rests", {{"server", process.id.value}, {"for", *notice.rest}});
        hooks_.on_rest(process.id);
    }
}

void condition_exchange::on_message(const host_id&, const server_condition_report& it)
{
    std::map<server_id, shared_condition> before;
    for (const auto& told : it.servers) {
        before[told.server] = condition_of(told.server);
    }
    if (context_.view.conditions().on_report(monotonic_now(), it)) {
        tell_changes(before);
    }
}

condition_exchange::shared_condition condition_exchange::condition_of(const server_id& server) const
{
    const auto found = context_.view.servers().find(server);
    if (found == context_.view.servers().end()) {
        return {};
    }
    const auto& conditions = context_.view.conditions();
    return {.limit = conditions.rate_limit(found->second).value_or(request_rate{}),
            .leaving = conditions.leaving(found->second)};
}

void condition_exchange::tell_changes(const std::map<server_id, shared_condition>& before) const
{
    bool limits = false;
    bool leaving = false;
    for (const auto& [server, earlier] : before) {
        const auto now = condition_of(server);
        if (now.limit != earlier.limit) {
            limits = true;
            log_event("server_limit",
                      {{"server", server.value},
                       {"per_second", now.limit.value > 0 ? text_of(now.limit) : "none"}});
        }
        if (now.leaving && !earlier.leaving) {
            leaving = true;
            log_event("server_leaves", {{"server", server.value}});
        }
    }
    if (limits) {
        hooks_.on_limits();
    }
    if (leaving) {
        hooks_.on_leaving();
    }
}

void condition_exchange::tick(instant now)
{
    auto& conditions = context_.view.conditions();
    if (now >= next_cleanup_) {
        next_cleanup_ = now + cleanup_period;
        conditions.forget_old(now, context_.view.servers());
    }
    tell_digest_to_one(now);
    if (now < next_report_) {
        return;
    }
    const auto report = conditions.take_findings(now);
    if (!report) {
        return;
    }
    next_report_ = now + report_period;
    peers_.send_to_all(*report);
}

std::string condition_exchange::describe() const
{
    const auto now = monotonic_now();
    std::ostringstream out;
    const auto& conditions = context_.view.conditions();
    for (const auto& [id, server] : context_.view.servers()) {
        const auto limit = conditions.rate_limit(server);
        const auto rest = conditions.rest_left(now, server);
        const bool leaving = conditions.leaving(server);
        if (!limit && !leaving && rest <= duration{0}) {
            continue;
        }
        out << "server=" << id.value << " service=" << server.service.value;
        if (limit) {
            const auto since = conditions.limited_since(server).value_or(now);
            out << " limit_per_second=" << limit->value
                << " since_s=" << std::chrono::duration_cast<seconds>(now - since).count();
        }
        out << (leaving ? " leaving=yes" : "");
        if (rest > duration{0}) {
            out << " rest_left_ms=" << rest / millis{1};
        }
        out << "\n";
    }
    return out.str();
}

} // namespace quincewing
