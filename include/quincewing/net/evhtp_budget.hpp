#pragma once

#include "quincewing/admission/connection_budget.hpp"
#include "quincewing/admission/memory_budget.hpp"
#include "quincewing/net/event_loop.hpp"

#include <cstdint>
#include <evhtp/evhtp.h>
#include <functional>
#include <limits>
#include <map>
#include <memory>

namespace quincewing {

/// Limits on the memory, the descriptors and the number of connections of a libevhtp server.
struct evhtp_budget_options
{
    memory_budget_options memory;
    connection_budget_options descriptors;
    /// Most connections, however many descriptors there are.
    std::uint64_t connections{std::numeric_limits<std::uint64_t>::max()};
};

/// The options of a port.
struct port_budget
{
    /// Memory that the process may use, 0 if it is not known, and the share of it for this port.
    std::uint64_t memory{};
    double memory_share{};
    /// Bytes for the port if the memory is not known.
    std::uint64_t default_bytes{};
    /// Descriptors that the process may open, 0 for as many as the system allows, and the share.
    std::uint64_t descriptors{};
    double descriptor_share{};
};

evhtp_budget_options evhtp_budget_options_of(const port_budget& it);

/// Keeps what the connections of a libevhtp server hold within a budget of bytes and of
/// descriptors: pauses, refuses and closes connections as memory_budget and connection_budget
/// decide. A request is refused only before it is handled, so a refused request has not run.
class evhtp_budget
{
public:
    /// on_limited: called for each connection that is refused, closed or resumed, with a metric
    /// label for the action, such as "too_slow".
    evhtp_budget(event_loop& loop, const evhtp_budget_options& options,
                 std::function<void(const char* what)> on_limited);
    ~evhtp_budget();
    evhtp_budget(const evhtp_budget&) = delete;
    evhtp_budget& operator=(const evhtp_budget&) = delete;

    /// To be called for a connection that was accepted. False if it is to be closed.
    [[nodiscard]] bool accept(evhtp_connection_t* it);
    /// To be called when a head is complete.
    void on_headers(evhtp_request_t* request);
    /// To be called when a request is complete. False if it is to be refused for lack of memory.
    [[nodiscard]] bool on_request(evhtp_request_t* request);
    /// To be called when a connection ends.
    void forget(evhtp_connection_t* it);
    /// Adds what a refusal for lack of memory says, and answers with it.
    static void refuse(evhtp_request_t* request, evhtp_res status);

    [[nodiscard]] std::uint64_t held() const { return memory_.held(); }
    [[nodiscard]] std::size_t paused() const { return memory_.paused(); }

private:
    struct connection;

    void on_input(connection& it, std::size_t bytes);
    [[nodiscard]] bool make_room(instant now);
    void report(instant now, connection& it);
    void check();
    void apply(const memory_actions& actions);
    void end_unfinished(connection& it, evhtp_res status);
    void refuse_without_room();
    void close_refused(instant now);
    connection* find(memory_holder id) const;

    memory_budget memory_;
    connection_budget descriptors_;
    std::uint64_t max_connections_;
    std::function<void(const char*)> on_limited_;
    std::map<evhtp_connection_t*, std::unique_ptr<connection>> connections_;
    std::map<memory_holder, connection*> by_id_;
    std::uint64_t last_id_{};
    instant next_check_{};
    timer check_timer_;
    timer refuse_timer_;
};

} // namespace quincewing
