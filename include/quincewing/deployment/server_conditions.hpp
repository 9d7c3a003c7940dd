#pragma once

#include "quincewing/base/time.hpp"
#include "quincewing/deployment/server_condition.hpp"
#include "quincewing/deployment/server_notice.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace quincewing {

struct server_conditions_options
{
    /// What a process said is forgotten this long after it ceased to hold, or after the process
    /// left the list of servers.
    duration memory{seconds{60}};
    /// Times told by another host may be off by this much.
    duration told_time_error{millis{100}};
    /// Processes that are remembered.
    std::size_t max_processes{16384};
    /// Least time between two requests for all that another host knows.
    duration request_interval{millis{250}};
};

/// What changed with an answer.
struct condition_change
{
    /// Its limit, or that it leaves: what holds for all hosts.
    bool shared{};
    /// The server wants rest from this host from now on.
    bool rest_began{};
};

/// What the processes of backend servers say of themselves, from the answers that this host got
/// and from what other hosts tell. Decides only: the caller sends the reports.
class server_conditions
{
public:
    explicit server_conditions(server_conditions_options options = {}) : options_(options) {}

    /// An answer of the process to a request that was sent to it at sent_at. sent_at must be
    /// instant{} when it is not certain that the process gave this answer to this request.
    condition_change on_notice(instant now, const backend_server& process, instant sent_at,
                               const server_notice& notice);
    /// Merges what another host tells. Returns whether anything changed.
    bool on_report(instant now, const server_condition_report& report);
    /// Forgets what is too old. Call about once a second.
    void forget_old(instant now, const backend_servers& listed);

    /// The rate that the process takes from all hosts together; empty: it names none.
    [[nodiscard]] std::optional<request_rate> rate_limit(const backend_server& process) const;
    /// Since when it names one.
    [[nodiscard]] std::optional<instant> limited_since(const backend_server& process) const;
    /// The limits of all listed processes that name one.
    [[nodiscard]] std::map<server_id, request_rate>
    rate_limits(const backend_servers& listed) const;

    /// Whether the process said that it stops soon. This holds until its end.
    [[nodiscard]] bool leaving(const backend_server& process) const;
    /// Time for which the process wants nothing from this host; zero: none.
    [[nodiscard]] duration rest_left(instant now, const backend_server& process) const;
    /// The processes that want nothing from this host now.
    [[nodiscard]] std::vector<server_id> resting(instant now) const;

    /// This host's findings since the last call, for all other hosts.
    [[nodiscard]] std::optional<server_condition_report> take_findings(instant now);
    /// All that is known, for a host that may know nothing.
    [[nodiscard]] server_condition_report report_all(instant now) const;

    /// Equal on hosts that know the same.
    [[nodiscard]] std::uint64_t digest() const;
    /// Another host told its digest. Returns whether to ask it for all that it knows.
    bool on_digest(instant now, std::uint64_t told);

    /// Processes that are remembered.
    [[nodiscard]] std::size_t size() const { return processes_.size(); }

private:
    struct condition
    {
        server_start start;
        std::optional<request_rate> rate_limit;
        instant limited_since{};
        /// When the answer came that said so last.
        instant said_at{};
        bool leaving{};
        instant rest_until{};
        /// Since when the process is not listed.
        std::optional<instant> unlisted_since;
    };

    [[nodiscard]] const condition* find(const backend_server& process) const;
    /// The process's entry, made if need be; nullptr when there is no room, or when a later start
    /// of the server is known.
    condition* entry_of(const server_id& id, server_start start);
    static bool set_limit(instant now, condition& to, std::optional<request_rate> limit);
    /// Takes the limit of an answer. Returns whether it is another.
    static bool on_limit(instant now, condition& to, instant sent_at, const server_notice& notice);
    bool merge(instant now, const server_condition& told);
    bool merge_limit(instant now, condition& to, const server_condition& told);
    [[nodiscard]] bool is_newer(const condition& known, instant said_at,
                                std::optional<request_rate> limit) const;
    static server_condition to_report(instant now, const server_id& id, const condition& it);

    server_conditions_options options_;
    std::map<server_id, condition> processes_;
    std::set<server_id> findings_;
    /// Empty after a change, until it is asked for.
    mutable std::optional<std::uint64_t> digest_;
    instant next_request_{};
};

} // namespace quincewing
