#pragma once

#include "quincewing/dispatch/dispatcher.hpp"
#include "quincewing/dispatch/dispatcher_choice.hpp"
#include "quincewing/dispatch/quota_leases.hpp"
#include "quincewing/entry/host_context.hpp"
#include "quincewing/peers/peers_task.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace quincewing {

/// Outcome of a request for a slot: at most one hook is called, once. A slot is the right to send
/// one request to a backend server.
struct slot_hooks
{
    std::function<void(std::uint64_t number, const server_id&)> on_granted;
    std::function<void(duration retry_after, const std::string& reason)> on_refused;
};

/// Obtains slots at backend servers for this host's requests, and runs the dispatchers that this
/// host is responsible for. Each group of servers has one dispatcher, on the host chosen by
/// rendezvous hashing over the connected hosts. Correctness does not depend on it: while the
/// dispatcher does not answer, this host grants slots itself, within its share of them.
class dispatch_task
{
public:
    dispatch_task(host_context context, peers_task& peers);

    /// Requests a slot and returns the request's number. A hook may be called before the return.
    std::uint64_t request_slot(dispatch_request request, slot_hooks hooks);
    /// Returns the slot after use; if it is still requested, withdraws the request.
    void release_slot(std::uint64_t number, const attempt_report& report);

    /// The servers, or what they say of themselves, changed.
    void on_servers(instant now);
    void on_host_lost(const host_id& host);
    /// The host's dispatchers take no more requests; requests that wait there are asked for
    /// elsewhere.
    void on_host_leaving(const host_id& host);
    void tick(instant now);

    void on_message(const host_id& from, const place_request& it);
    void on_message(const host_id& from, const place_queued& it);
    void on_message(const host_id& from, const place_given& it);
    void on_message(const host_id& from, const place_refused& it);
    void on_message(const host_id& from, const place_done& it);
    void on_message(const host_id& from, const place_declined& it);
    void on_message(const host_id& from, const place_check& it);
    void on_message(const host_id& from, const place_check_result& it);
    void on_message(const host_id& from, const quota_request& it);
    void on_message(const host_id& from, const quota_reply& it);

    /// Number of this host's requests that have no slot yet.
    [[nodiscard]] std::size_t waiting() const;

private:
    using group_id = server_group;
    struct pending_request
    {
        dispatch_request request;
        instant objective;
        instant deadline;
        slot_hooks hooks;
        host_id dispatcher_host;
        std::uint32_t times_asked{};
        instant asked_at;
        /// When the dispatcher last confirmed that it has queued the request.
        instant confirmed_at;
        /// The dispatcher confirmed that it has queued the request.
        bool acknowledged{};
        bool granted{};
        /// Handled by this host's fallback dispatcher in place of the group's.
        bool uses_fallback{};
    };

    [[nodiscard]] host_id dispatcher_host_of(const group_id& group);
    [[nodiscard]] host_id choose_dispatcher_host(const group_id& group) const;
    void on_hosts_change();
    static group_id group_of(const dispatch_request& it)
    {
        return {it.service, it.required_server};
    }
    dispatcher& get_dispatcher(const group_id& id, bool fallback);
    /// Hosts that must lose a server before a dispatcher takes it to be lost.
    [[nodiscard]] std::size_t losing_hosts(bool fallback) const;
    /// The part of a server's own limit that a dispatcher of this host may use.
    [[nodiscard]] double quota_share_of(instant now, const group_id& id, bool fallback);
    void apply_limits(instant now, const group_id& id, bool fallback, dispatcher& to);
    void apply_all_limits(instant now);
    /// Asks the other hosts for the quotas of limited groups that were asked for lately.
    void request_quotas(instant now);
    [[nodiscard]] std::set<group_id> groups_in_need_of_quotas(instant now);
    [[nodiscard]] std::size_t host_count() const { return peers_.known_hosts() + 1; }
    [[nodiscard]] static dispatch_request with_time_left(const pending_request& it, instant now);
    /// Whether it waits for a slot from another host's dispatcher.
    [[nodiscard]] bool waits_elsewhere(const pending_request& it) const;
    [[nodiscard]] std::vector<std::uint64_t> waiting_at(const host_id& host) const;
    void send_to_dispatcher(std::uint64_t number);
    /// Asks again for slots for all requests that wait at this host.
    void ask_elsewhere(const host_id& host);
    /// Withdraws the request from the dispatcher that was asked last.
    void withdraw(std::uint64_t number);
    void return_place(std::uint64_t number, const pending_request& it,
                      const attempt_report& report);
    void skip_dispatchers_of(const host_id& host, instant now);
    void check_dispatchers(instant now);
    void send_check(const host_id& host, instant now);
    void on_silent(const host_id& host, instant now);
    /// Whether the dispatcher has the request. If it has a slot, the grant is sent again.
    bool confirm(const dispatcher& target, const dispatch_ticket& ticket);
    void submit_to_fallback(std::uint64_t number);
    void submit(const group_id& id, bool fallback, const dispatch_ticket& ticket,
                dispatch_request request);
    void deliver_decisions(dispatcher& from);
    void deliver_grant(std::uint64_t number, const server_id& server);
    void deliver_rejection(std::uint64_t number, duration retry_after, const std::string& reason);
    [[nodiscard]] std::vector<backend_server> servers_of(const group_id& id) const;

    host_context context_;
    peers_task& peers_;
    std::map<group_id, dispatcher> dispatchers_;
    std::map<group_id, dispatcher> fallback_dispatchers_;
    std::map<std::uint64_t, pending_request> requests_;
    std::set<host_id> leaving_;
    /// This host and the connected ones.
    std::vector<dispatch_candidate> candidates_;
    /// What choose_dispatcher_host() said of the hosts connected in this version.
    std::map<group_id, host_id> dispatcher_hosts_;
    std::uint64_t hosts_version_{};
    /// Hosts whose dispatcher did not answer, and until when they are not asked again.
    std::map<host_id, instant> unresponsive_until_;
    /// Hosts whose answer to a place_check is due, and when it was sent.
    std::map<host_id, instant> checks_sent_;
    /// Hosts that may hold slots for requests that are over, and since when.
    std::map<host_id, instant> to_check_;
    std::uint64_t next_number_{1};
    quota_lender lender_;
    quota_borrower borrower_;
    instant last_quota_request_{};
    /// When a slot at a group with limits was last requested from this host's dispatcher.
    std::map<group_id, instant> limited_requested_at_;
    /// Connected hosts of earlier builds, which lease no quotas.
    std::size_t older_hosts_{};
    instant last_tick_{};
};

} // namespace quincewing
