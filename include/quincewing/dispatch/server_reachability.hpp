#pragma once

#include "quincewing/base/ids.hpp"
#include "quincewing/base/time.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace quincewing {

struct reachability_options
{
    /// A server that could not be reached is tried again after this time, which doubles with each
    /// further failure.
    duration min_backoff{millis{250}};
    duration max_backoff{seconds{2}};
    /// A host that fails at so many servers, one after the other, takes itself to be cut off; with
    /// fewer servers, at all of them.
    std::size_t cut_servers{6};
    /// So many of those that it could not connect to were chosen by itself: the servers of requests
    /// may have crashed.
    std::size_t cut_checks{2};
    /// After so many it tries others without waiting for requests; after the first if it has
    /// reached none for quiet_time.
    std::size_t suspicious_servers{2};
    duration quiet_time{seconds{1}};
    /// While it is cut off, it tries to connect to one server in this time.
    duration cut_probe_interval{millis{250}};
    /// While connections are accepted and then break, one request is tried in this time; one that
    /// must not run twice more seldom.
    duration trial_interval{millis{500}};
    duration careful_trial_interval{seconds{3}};
    /// Place of the first server that is tried without a request; hosts should differ.
    std::size_t first_probe{};
};

/// Which backend servers of one service this host reaches. It says nothing of whether a server is
/// well: others may reach it. Does no I/O and reads no clock.
class server_reachability
{
public:
    explicit server_reachability(reachability_options options = {}) : options_(options) {}

    /// The servers that there are; others are forgotten.
    void set_servers(const std::set<server_id>& servers);
    /// A new connection was made.
    void on_connected(instant now, const server_id& server);
    /// An answer came. New connections may fail while those that are open live on.
    void on_answer(instant now);
    /// A connection that was tried since then could not be made. True: the server was reachable
    /// before.
    bool on_connect_failed(instant now, const server_id& server, instant since);
    /// A connection broke under a request that was sent then. The server may be well, but others
    /// that break too may show that this host is cut off.
    void on_broken(const server_id& server, instant since);

    /// A new connection may be tried for a request.
    [[nodiscard]] bool reachable(const server_id& server) const
    {
        return !cut_off() && !failures_.contains(server);
    }
    /// Whether a request may be sent to find out whether connections still break. Counts as tried.
    bool take_trial(instant now, bool idempotent);
    /// This host can make no connection, or all break, as far as it knows. Connections that are
    /// open may live on.
    [[nodiscard]] bool cut_off() const { return no_connects_ || all_break_; }
    [[nodiscard]] std::vector<server_id> unreachable() const;
    /// A server that is due to be tried without a request. Counts it as tried.
    std::optional<server_id> next_probe(instant now);
    [[nodiscard]] bool suspicious(instant now) const;
    /// When a connection was made last.
    [[nodiscard]] instant last_connected() const { return last_connected_; }
    /// When an answer came last.
    [[nodiscard]] instant last_answer() const { return last_answer_; }

private:
    struct failure
    {
        duration backoff{};
        instant next_probe{};
        /// Other servers were connected to meanwhile: it says nothing of this host's ways.
        bool of_server{};
    };

    void note_failure();
    void end_cut();
    /// A server that is not known to fail, in order to know whether this host reaches any. Counts
    /// it as tried.
    std::optional<server_id> next_check();
    [[nodiscard]] std::size_t servers_to_fail() const;
    /// Servers that failed since the last answer.
    [[nodiscard]] std::size_t unanswered() const;
    [[nodiscard]] bool can_connect_to_none() const;
    /// The servers in turn, from the one after the last that was tried without a request.
    [[nodiscard]] std::vector<server_id> in_turn() const;

    reachability_options options_;
    std::set<server_id> servers_;
    std::map<server_id, failure> failures_;
    /// Servers since the last connection that could not be connected to, and when that was begun.
    std::map<server_id, instant> not_connected_;
    /// Servers that are being checked, and the number of checks that failed since the last
    /// connection.
    std::set<server_id> checks_;
    std::size_t failed_checks_{};
    /// Servers since the last answer to which connections broke.
    std::set<server_id> broken_;
    bool no_connects_{};
    bool all_break_{};
    /// All connections break, and new ones are accepted.
    bool accepted_{};
    /// A connection was made after the last failure.
    bool checked_{};
    instant last_connected_{};
    instant last_answer_{};
    instant last_trial_{};
    instant next_cut_probe_{};
    server_id last_probed_;
};

} // namespace quincewing
