#pragma once

#include "caller_exchange.hpp"
#include "dispatch_task.hpp"
#include "flow_services.hpp"
#include "server_connections.hpp"

#include "quincewing/base/verdict.hpp"
#include "quincewing/deployment/owner_wait.hpp"
#include "quincewing/entry/host_context.hpp"
#include "quincewing/routing/route_table.hpp"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace quincewing {

/// The way of one request: route, place, backend server, answer. It knows each fact about the
/// request: whether a byte of it went out, to whom, and what came back.
class request_flow : public std::enable_shared_from_this<request_flow>
{
public:
    request_flow(host_context context, flow_services& services, caller_exchange_ptr exchange);
    ~request_flow();
    request_flow(const request_flow&) = delete;
    request_flow& operator=(const request_flow&) = delete;

    void start();
    /// Owners of keys or servers changed while the request waits.
    void on_view_change();
    [[nodiscard]] bool ended() const { return ended_; }

private:
    enum class stage
    {
        /// Waits for its key's owner.
        owner,
        /// Waits for a place at a server.
        place,
        /// Is at a server.
        server,
        over
    };

    void choose_service();
    void find_place();
    void ask_place(const server_id& only);
    void on_place(std::uint64_t number, const server_id& server);
    void on_refused(duration retry_after, const std::string& reason);
    void send();
    [[nodiscard]] bool still_usable() const;
    [[nodiscard]] std::string server_request() const;
    head_action on_head(message_head& head);
    void on_body(const char* buf, std::size_t n);
    void on_end(bool reusable);
    void on_lost(connection_loss how);
    void on_time();
    void on_gone();

    void begin_answer();
    void flush_held();
    void leave_server(attempt_outcome outcome, bool reusable);
    void try_again(const char* why, bool uses_budget);
    [[nodiscard]] bool may_send_again() const;
    void refuse(const char* reason, duration retry_after);
    void fail(int status, const char* reason);
    void finish(int status, const char* reason);

    [[nodiscard]] bool repeatable() const;
    [[nodiscard]] duration left() const;
    [[nodiscard]] const std::string& id() const { return id_; }

    host_context context_;
    flow_services& services_;
    caller_exchange_ptr exchange_;
    std::shared_ptr<active_route> route_;
    config_version version_;
    service_id service_;
    std::optional<key_number> key_;
    std::string id_;
    /// When an answer is of no use any more.
    instant end_;
    stage stage_{stage::owner};
    std::uint64_t place_{};
    backend_server server_;
    std::unique_ptr<client_connection> connection_;
    std::set<server_id> tried_;
    int sends_{};
    int owner_misses_{};
    instant owner_since_{};
    quincewing::verdict verdict_{quincewing::verdict::not_run};
    instant sent_at_;
    message_head answer_;
    std::string held_;
    bool passing_{};
    attempt_report report_;
    timer timer_;
    bool ended_{};
};

} // namespace quincewing
