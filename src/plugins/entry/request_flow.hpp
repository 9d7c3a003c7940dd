#pragma once

#include "caller_exchange.hpp"
#include "dispatch_task.hpp"
#include "flow_services.hpp"
#include "reach_task.hpp"
#include "relayed_request.hpp"
#include "server_connections.hpp"

#include "quincewing/base/verdict.hpp"
#include "quincewing/deployment/owner_wait.hpp"
#include "quincewing/dispatch/send_history.hpp"
#include "quincewing/entry/host_context.hpp"
#include "quincewing/routing/route_table.hpp"

#include <memory>
#include <optional>
#include <string>

namespace quincewing {

/// Handles one request of a caller: finds its route, gets a slot at a backend server from the
/// dispatcher, forwards the request, retries it where safe and relays the response. It tracks
/// whether the request may have run.
class request_flow : public std::enable_shared_from_this<request_flow>
{
public:
    request_flow(host_context context, flow_services& services, caller_exchange_ptr exchange);
    ~request_flow();
    request_flow(const request_flow&) = delete;
    request_flow& operator=(const request_flow&) = delete;

    void start();
    /// Key owners, servers or the configuration changed.
    void on_view_change();
    /// The server wants nothing more from this host for a time.
    void on_server_rests(const server_id& server);
    [[nodiscard]] bool ended() const { return ended_; }
    /// The caller is getting an answer.
    [[nodiscard]] bool answer_begun() const
    {
        return exchange_->begun() && !exchange_->disconnected();
    }
    /// It has no slot at a server: it waits for one, or for an owner of its key.
    [[nodiscard]] bool waiting() const;
    /// Reads what has come of the server's response, until the answer begins.
    void read_response();
    /// The host begins to stop.
    void on_host_stops();
    /// Refuses a request that is not at a server, since this host is about to end.
    void refuse_unsent();
    /// Answers the request now, since this host ends.
    void give_up();
    /// Writes a log line that says how far an unfinished request is.
    void log_unfinished() const;

private:
    enum class stage
    {
        /// No route is known, but there may be a newer configuration that has one.
        waiting_for_configuration,
        waiting_for_owner,
        waiting_for_slot,
        at_server,
        ended
    };

    [[nodiscard]] const char* waits_for() const;
    /// There is a newer configuration, and this host's may not be in force any more.
    [[nodiscard]] bool configuration_outdated() const;
    /// Looks for the route in the configuration. An unknown path gets 404 only if no newer one can
    /// have a route for it.
    void find_route();
    void choose_service();
    void find_server();
    void request_slot(const server_id& required_server);
    void on_slot_granted(std::uint64_t number, const server_id& server);
    /// Rejects the request if it crashes servers.
    [[nodiscard]] bool reject_if_quarantined();
    void on_slot_refused(duration retry_after, const std::string& reason);
    /// Ends a request that is at no server: refused if it cannot have run.
    void end_unserved(const char* reason, duration retry_after);
    /// Time for which the owner of the key wants nothing from this host; zero: none.
    [[nodiscard]] duration owner_rest_left() const;
    void end_since_owner_rests();
    void send();
    [[nodiscard]] duration max_idle() const;
    [[nodiscard]] server_channel_hooks channel_hooks();
    /// Whether the request is sent again when its server, or the host that it goes by way of, is
    /// silent.
    [[nodiscard]] bool may_repeat_after_silence() const;
    /// Time without an acknowledgement after which the connection to the server breaks.
    [[nodiscard]] duration silence_timeout() const;
    void send_directly();
    /// Sends by way of another host. False: there is none that was not tried yet.
    [[nodiscard]] bool send_by_relay();
    /// The way of the request that is at a server; nullptr when none is.
    [[nodiscard]] server_channel* channel() const;
    /// The latest send reached no server; what earlier ones did stays.
    void note_not_sent();
    /// The connection to the server, or another host's, was not made.
    void on_not_sent(connection_loss how);
    /// Gives the slot back, and ends the request or goes on to another server.
    void leave_unreachable(const char* why);
    void on_sent();
    [[nodiscard]] bool server_still_usable() const;
    [[nodiscard]] std::string server_request_head() const;
    /// The connection broke after the request was sent: the request may have crashed the server.
    void note_broken(duration ran_for);
    /// The host whose connections the request is sent on.
    [[nodiscard]] const host_id& way() const;
    /// Whether the answer is to this request and to no other.
    [[nodiscard]] bool answers_this(const message_head& head) const;
    head_action on_head(message_head& head);
    void on_body(const char* buf, std::size_t n);
    void on_end(bool reusable);
    void on_lost(connection_loss how);
    void on_timeout();
    /// Ends a response that is still being relayed well after the caller's deadline.
    void end_overlong_response();
    void on_caller_disconnect();

    /// Longest response, in bytes, that is read in full before it begins.
    [[nodiscard]] std::size_t max_held_response() const;
    /// Longest response, in bytes, behind which further requests are sent to servers.
    [[nodiscard]] std::size_t max_small_response() const;
    /// The response has this many bytes at least.
    void on_response_size(std::uint64_t bytes);
    void begin_response();
    void flush_buffered_body();
    /// Fails a response that is too long to hold while later requests of its connection are at
    /// servers.
    void end_unheld_response();
    void leave_server(attempt_outcome outcome, bool reusable);
    void retry(const char* why, bool uses_budget);
    [[nodiscard]] bool may_retry_failed_response() const;
    /// Responds 503 with Retry-After, which promises that the request did not run.
    void refuse(const char* reason, duration retry_after);
    void fail(int status, const char* reason);
    void finish(int status, const char* reason);

    [[nodiscard]] bool idempotent() const;
    [[nodiscard]] duration time_left() const;
    [[nodiscard]] const std::string& id() const { return id_; }

    /// Retry-After value: keys that move have their new owner within a fraction of a second.
    static constexpr millis retry_after_key_move{200};
    /// Added to the deadline, since a response that was sent just before it may be in flight.
    static constexpr millis response_grace{80};
    /// Time after the caller's deadline by which a response that has begun must be complete.
    static constexpr millis relay_grace{1000};
    /// Bytes of a response that are read only to keep the connection.
    static constexpr std::size_t max_ignored_body = 64UL * 1024;
    /// Times that a request is sent on to another owner of its key.
    static constexpr int max_owner_misses = 3;
    /// Longest response that is held while later requests of its connection are at servers, as a
    /// multiple of answer_buffer.
    static constexpr std::size_t max_held_buffers = 4;
    /// Other hosts that one send is tried by way of.
    static constexpr std::size_t max_relay_hosts = 2;

    host_context context_;
    flow_services& services_;
    caller_exchange_ptr exchange_;
    std::shared_ptr<active_route> route_;
    config_version version_;
    service_id service_;
    std::optional<key_number> key_;
    std::string id_;
    /// Hash of what repeats of the request have in common with it.
    std::uint64_t fingerprint_{};
    /// The caller's deadline or the end of the route's timeout, whichever is earlier.
    instant deadline_;
    instant caller_deadline_;
    stage stage_{stage::waiting_for_owner};
    /// Number of the slot request; 0: none.
    std::uint64_t slot_number_{};
    /// The owner of the key from which the slot is requested; empty without a key.
    server_id required_server_;
    backend_server server_;
    /// One of the two while the request is at a server.
    std::unique_ptr<server_connection> connection_;
    std::shared_ptr<relayed_request> relayed_;
    /// Hosts that this send went by way of without reaching the server.
    std::set<host_id> relays_tried_;
    quincewing::verdict verdict_before_send_{quincewing::verdict::not_run};
    send_history history_;
    /// Times that the chosen server was not usable or did not own the key any more.
    int owner_misses_{};
    instant owner_wait_started_{};
    quincewing::verdict verdict_{quincewing::verdict::not_run};
    instant sent_at_;
    /// When it was sent to a server first; its arrival if it never was.
    instant first_sent_at_;
    message_head response_;
    /// Response body that was received but not relayed yet.
    std::string buffered_body_;
    /// The response is being relayed to the caller: no retry is possible.
    bool relaying_{};
    attempt_report report_;
    timer timer_;
    bool ended_{};
};

} // namespace quincewing
