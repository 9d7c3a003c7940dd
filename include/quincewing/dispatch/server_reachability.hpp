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
    /// After so many it tries others without waiting for requests.
    std::size_t suspicious_servers{2};
    /// While connections are accepted and then break, one request is tried in this time; one that
    /// must not run twice more seldom.
    duration trial_interval{millis{500}};
    duration careful_trial_interval{seconds{3}};
};

/// Which backend servers this host reaches. It says nothing of whether a server is well: others may
/// reach it. Does no I/O and reads no clock.
class server_reachability
{
public:
    explicit server_reachability(reachability_options options = {}) : options_(options) {}

    /// The servers that there are; others are forgotten.
    void set_servers(const std::set<server_id>& servers);
    /// A new connection was made.
    void on_connected(const server_id& server);
    /// An answer came. New connections may fail while those that are open live on.
    void on_answer();
    /// A connection could not be made. True: the server was reachable before.
    bool on_connect_failed(instant now, const server_id& server);
    /// A connection broke under a request. The server may be well, but others that break too may
    /// show that this host is cut off.
    void on_broken(const server_id& server);

    /// A new connection may be tried for a request.
    [[nodiscard]] bool reachable(const server_id& server) const
    {
        return !cut_off() && !failures_.contains(server);
    }
    /// Whether a request may be sent to find out whether connections still break. Counts as tried.
    bool take_trial(instant now, bool idempotent);
    /// This host reaches no server, as far as it knows.
    [[nodiscard]] bool cut_off() const { return cut_off_; }
    [[nodiscard]] std::vector<server_id> unreachable() const;
    /// A server that is due to be tried without a request. Counts it as tried.
    std::optional<server_id> next_probe(instant now);

private:
    struct failure
    {
        duration backoff{};
        instant next_probe{};
    };

    void note_failure();
    void end_cut();
    [[nodiscard]] std::size_t servers_to_fail() const;
    [[nodiscard]] std::set<server_id> failed_in_a_row() const;
    /// While this host seems to be cut off: a server that it has not failed at yet.
    [[nodiscard]] std::optional<server_id> server_to_check() const;

    reachability_options options_;
    std::set<server_id> servers_;
    std::map<server_id, failure> failures_;
    /// Servers since the last answer to which connections could not be made, and to which they
    /// broke.
    std::set<server_id> not_connected_;
    std::set<server_id> broken_;
    bool cut_off_{};
    /// The host is cut off, and connections are accepted.
    bool accepted_{};
    /// A connection was made after the last failure.
    bool checked_{};
    instant last_trial_{};
};

} // namespace quincewing
