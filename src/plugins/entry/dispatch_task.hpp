#pragma once

#include "quincewing/dispatch/dispatcher.hpp"
#include "quincewing/entry/host_context.hpp"
#include "quincewing/peers/peers_task.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace quincewing {

/// Answers to a request for a place; one of them is called once.
struct placement_hooks
{
    std::function<void(std::uint64_t number, const server_id&)> on_placed;
    std::function<void(duration retry_after, const std::string& reason)> on_refused;
};

/// Gets places at backend servers for this host's requests, from the dispatcher of the server's
/// group, and runs the dispatchers that fall to this host. A group's dispatcher is found by
/// rendezvous hashing over the live hosts. Nothing safe hangs on it: while it cannot be reached
/// this host places its requests by itself, within its share of the slots.
class dispatch_task
{
public:
    dispatch_task(host_context context, peers_task& peers);

    /// Asks for a place; the answer may come inside the call.
    std::uint64_t request_placement(dispatch_request request, placement_hooks hooks);
    /// The place was used, or is not wanted any more.
    void finish_placement(std::uint64_t number, const attempt_report& report);

    void on_servers(instant now);
    void on_host_lost(const host_id& host);
    void on_host_leaving(const host_id& host) { leaving_.insert(host); }
    void tick(instant now);

    void on_message(const host_id& from, const place_request& it);
    void on_message(const host_id& from, const place_queued& it);
    void on_message(const host_id& from, const place_given& it);
    void on_message(const host_id& from, const place_refused& it);
    void on_message(const host_id& from, const place_done& it);

    [[nodiscard]] std::size_t waiting() const;

private:
    /// A server that is keyed, or a whole service.
    struct group_id
    {
        service_id service;
        server_id only;

        auto operator<=>(const group_id&) const = default;
    };
    struct own_request
    {
        dispatch_request request;
        placement_hooks hooks;
        host_id dispatcher;
        instant asked;
        bool known_there{};
        bool placed{};
        /// Placed by the own dispatcher that stands in for the group's.
        bool local{};
    };

    [[nodiscard]] host_id dispatcher_of(const group_id& group) const;
    static group_id group_of(const dispatch_request& it)
    {
        return {it.service, it.required_server};
    }
    dispatcher& group(const group_id& id, bool stand_in);
    void ask_dispatcher(std::uint64_t number);
    void ask_stand_in(std::uint64_t number);
    void submit(const group_id& id, bool stand_in, const dispatch_ticket& ticket,
                dispatch_request request);
    void hand_out(dispatcher& from);
    void give(std::uint64_t number, const server_id& server);
    void refuse(std::uint64_t number, duration retry_after, const std::string& reason);
    [[nodiscard]] std::vector<backend_server> servers_of(const group_id& id) const;

    host_context context_;
    peers_task& peers_;
    std::map<group_id, dispatcher> groups_;
    std::map<group_id, dispatcher> stand_ins_;
    std::map<std::uint64_t, own_request> requests_;
    std::set<host_id> leaving_;
    /// Hosts that did not answer lately, and until when they are not asked.
    std::map<host_id, instant> silent_;
    std::uint64_t next_number_{1};
};

} // namespace quincewing
