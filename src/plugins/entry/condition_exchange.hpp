#pragma once

#include "quincewing/deployment/server_notice.hpp"
#include "quincewing/entry/host_context.hpp"
#include "quincewing/peers/peers_task.hpp"

#include <functional>
#include <map>
#include <random>
#include <string>

namespace quincewing {

struct condition_exchange_hooks
{
    /// The limits of servers changed.
    std::function<void()> on_limits;
    /// It is known of a server that it leaves.
    std::function<void()> on_leaving;
    /// A server wants nothing more from this host for a time.
    std::function<void(const server_id&)> on_rest;
};

/// Keeps what this host knows of the servers' conditions equal to what the other hosts know.
/// Changes are told to all hosts. A digest is told when a link is made, and to one host from time
/// to time; a host that knows something else asks the sender for all that it knows.
class condition_exchange
{
public:
    condition_exchange(host_context context, peers_task& peers, condition_exchange_hooks hooks);

    void on_host_connected(const host_id& host);
    void on_notice(const backend_server& process, instant sent_at, const server_notice& notice);
    void on_message(const host_id& from, const server_condition_report& it);
    void on_message(const host_id& from, const server_condition_digest& it);
    void on_message(const host_id& from, const server_condition_request& it);
    void tick(instant now);

    /// The servers that limit their rate, leave or want rest, one a line, for operators.
    [[nodiscard]] std::string describe() const;

private:
    void tell_digest(const host_id& to);
    void tell_digest_to_one(instant now);
    struct shared_condition
    {
        /// 0: none.
        request_rate limit;
        bool leaving{};
    };

    [[nodiscard]] shared_condition condition_of(const server_id& server) const;
    /// Logs what changed and calls the hooks for it.
    void tell_changes(const std::map<server_id, shared_condition>& before) const;

    host_context context_;
    peers_task& peers_;
    condition_exchange_hooks hooks_;
    std::minstd_rand random_;
    instant next_report_{};
    instant next_digest_{};
    instant next_cleanup_{};
};

} // namespace quincewing
