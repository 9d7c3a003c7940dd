#pragma once

#include "quincewing/base/time.hpp"
#include "quincewing/dispatch/server_group.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <vector>

namespace quincewing {

/// How often a dispatcher renews the leases of quotas in a deployment of this many hosts.
duration quota_renew_interval(std::size_t hosts);
/// For how long it leases them, from the sending of its request.
duration quota_lease_time(std::size_t hosts);

/// This host's quotas: its equal parts of the rates that servers allow. Each is used by one
/// dispatcher at a time, this host's own or one to which it is leased. Performs no I/O; times must
/// come from a clock that keeps running while the host is suspended.
class quota_lender
{
public:
    explicit quota_lender(instant started);

    /// Sets for how long the process that had this host's place before may have leased its quotas.
    void set_lease_time(duration it) { lease_time_ = it; }
    /// The dispatchers of a host ask for the quotas of these groups, and have stopped to use those
    /// of all others. Returns the groups whose quotas are leased to them. is_chosen: whether this
    /// host sends its own requests for the group's servers there.
    std::vector<server_group> on_request(instant now, const host_id& from, std::uint64_t number,
                                         const std::vector<server_group>& groups, duration time,
                                         const std::function<bool(const server_group&)>& is_chosen);
    /// The dispatchers of the host have stopped to use all quotas.
    void on_returned(const host_id& by);
    /// Whether this host's own dispatcher may use the quota: no other one may.
    [[nodiscard]] bool may_use(instant now, const server_group& group) const;
    /// Forgets leases that are over, and hosts that have not asked for long.
    void tick(instant now);

private:
    struct quota_lease
    {
        host_id to;
        instant until;
    };
    struct newest_request
    {
        std::uint64_t number{};
        instant at;
    };

    [[nodiscard]] bool lease(instant now, const server_group& group, const host_id& to,
                             duration time);

    instant started_;
    duration lease_time_;
    std::map<server_group, quota_lease> leases_;
    /// By the host that asked: an older request that comes late changes nothing.
    std::map<host_id, newest_request> newest_requests_;
};

/// The quotas that other hosts lease to this host's dispatchers. A lease counts from the sending of
/// the request, so that it ends here no later than at its lender.
class quota_borrower
{
public:
    /// A request for the quotas of these groups, and of no others, goes to all other hosts. Returns
    /// its number.
    std::uint64_t on_request(instant now, const std::set<server_group>& groups, duration time);
    void on_reply(const host_id& from, std::uint64_t number,
                  const std::vector<server_group>& leased);
    /// All quotas are returned, also those whose leases are under way.
    void return_all();
    /// Groups of the last request.
    [[nodiscard]] const std::set<server_group>& requested() const { return requested_; }
    /// Number of quotas of the group that this host's dispatcher may use.
    [[nodiscard]] std::size_t count(instant now, const server_group& group) const;
    /// Forgets leases that are over.
    void tick(instant now);

private:
    std::uint64_t last_number_{};
    std::set<server_group> requested_;
    /// When the leases of a request end, by its number.
    std::map<std::uint64_t, instant> ends_;
    /// The first request since which a group was requested all the time.
    std::map<server_group, std::uint64_t> requested_since_;
    std::map<server_group, std::map<host_id, instant>> leases_;
};

struct quota_share_input
{
    /// Hosts that were not forgotten, this one included: each has an equal quota.
    std::size_t known_hosts{1};
    /// This host's quota is leased to no other.
    bool own{};
    /// Quotas that others lease to this host.
    std::size_t borrowed{};
    /// The dispatcher serves this host's own requests only, since another did not answer.
    bool fallback{};
};

/// The part of a server's own limit that a dispatcher may use, 0 to 1.
double quota_share(const quota_share_input& it);

} // namespace quincewing
