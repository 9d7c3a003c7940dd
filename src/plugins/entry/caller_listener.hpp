#pragma once

#include "caller_connection.hpp"
#include "request_flow.hpp"

#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

struct evconnlistener;

namespace quincewing {

/// Listens for callers and keeps their connections and the flows of their requests.
class caller_listener
{
public:
    caller_listener(host_context context, flow_services& services);
    ~caller_listener();
    caller_listener(const caller_listener&) = delete;
    caller_listener& operator=(const caller_listener&) = delete;

    /// Returns false when the address cannot be had.
    bool start();
    /// Owners of keys or servers changed.
    void on_view_change();
    /// Answers end their connections from now on.
    void set_stopping() { stopping_ = true; }
    /// Ends the connections that are without a request for a while.
    void close_idle_connections();
    /// Takes no new connections; requests on open ones are refused.
    void refuse_new_requests();
    /// No request is under way and no connection is open.
    [[nodiscard]] bool idle() const { return flows_.empty() && connections_.empty(); }
    void tick(instant now);
    [[nodiscard]] std::size_t connections() const { return connections_.size(); }

private:
    void on_accept(int fd);
    void on_request(const caller_exchange_ptr& exchange);
    [[nodiscard]] bool may_run_concurrently(const message_head& head) const;
    void remove_connection(caller_connection* it);
    void remove_ended_flows();

    host_context context_;
    flow_services& services_;
    evconnlistener* listener_{};
    std::unordered_map<caller_connection*, std::unique_ptr<caller_connection>> connections_;
    std::vector<std::unique_ptr<caller_connection>> closed_connections_;
    std::vector<std::shared_ptr<request_flow>> flows_;
    timer cleanup_timer_;
    bool stopping_{};
    bool closing_idle_{};
    bool refusing_{};
};

} // namespace quincewing
