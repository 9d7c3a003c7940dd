#pragma once

#include "quincewing/admission/retry_budget.hpp"
#include "quincewing/backends/backend_options.hpp"
#include "quincewing/control/server_agent.hpp"
#include "quincewing/exchange/exchange.hpp"
#include "quincewing/net/event_loop.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace quincewing {

class backend_connection;

struct backend_counts
{
    std::uint64_t requests{};
    std::uint64_t connections_opened{};
    std::uint64_t connections_broken{};
    std::uint64_t connections_silent{};
    std::uint64_t retries{};
    std::uint64_t crashes{};
    std::uint64_t late_answers{};
};

/// The connections to one backend server, owned by its leader.
class backend_pool
{
public:
    using done_hook = std::function<void(const exchange_ptr&, const request_result&)>;

    backend_pool(event_loop& loop, server_id server, std::string address, backend_options options,
                 done_hook done);
    ~backend_pool();
    backend_pool(const backend_pool&) = delete;
    backend_pool& operator=(const backend_pool&) = delete;

    /// Sends the request; its answer goes to the exchange and its end to the done hook.
    void send(const exchange_ptr& it, const fence& at);
    /// Gives the request's connection up; the done hook is told `unknown`.
    void abort(request_id id);
    /// Sends a grant, a revocation or a probe.
    void command(const server_command& it, std::function<void(const command_reply&)> done);
    /// Closes idle connections and checks late ones. Call every few milliseconds.
    void sweep(instant now);

    [[nodiscard]] const std::string& address() const { return address_; }
    [[nodiscard]] const backend_counts& counts() const { return counts_; }
    /// Bytes of an answer that is waited for came and were not read yet.
    [[nodiscard]] bool answers_unread() const;
    [[nodiscard]] std::size_t connections() const { return connections_.size(); }

private:
    friend class backend_connection;
    struct waiting
    {
        exchange_ptr it;
        quincewing::fence at;
        bool retried{};
    };

    void start(const waiting& it);
    backend_connection* pick(instant now, bool idempotent);
    void pump();
    /// A new connection, for which an idle one may be closed. nullptr when there is no room.
    backend_connection* open_connection();
    /// The other connection that has the same request; nullptr when there is none.
    backend_connection* duplicate_of(const backend_connection& it) const;
    /// The first of two connections with one request got an answer.
    void on_head(backend_connection& from);
    /// A connection ended: with its answer, or broken.
    void on_answered(backend_connection& from);
    void on_broken(backend_connection& from);
    void finish_broken(const waiting& it, bool handed, bool crashed);
    void abort_running(backend_connection& it);
    void drop(backend_connection& it);
    /// Ends the requests whose answer is too long or comes too late.
    void end_excessive(instant now);
    void check_silent(backend_connection& it);
    /// Sends the request of a late connection on a new one as well.
    void send_twice(backend_connection& late);
    void probe(std::function<void(bool answered, bool refused)> done);

    event_loop& loop_;
    server_id server_;
    std::string address_;
    backend_options options_;
    done_hook done_;
    backend_counts counts_;
    retry_budget budget_;
    std::vector<std::unique_ptr<backend_connection>> connections_;
    std::vector<std::unique_ptr<backend_connection>> dropped_;
    timer drop_timer_;
    timer limit_timer_;
    std::deque<waiting> waiting_;
    std::shared_ptr<bool> alive_;
};

} // namespace quincewing
