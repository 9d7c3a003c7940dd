#pragma once

#include "quincewing/base/ids.hpp"
#include "quincewing/base/time.hpp"

#include <map>
#include <vector>

namespace quincewing {

struct member
{
    host_id host;
    data_centre_id data_centre;
    instant last_heartbeat{};
    /// The host is about to stop and accepts no new work.
    bool leaving{};
};

struct member_options
{
    /// Time without a heartbeat after which a host no longer counts as live.
    duration liveness_timeout{millis{1500}};
    /// Time without a heartbeat after which a host is removed from the table.
    duration removal_timeout{seconds{600}};
};

/// The entry hosts from which this host receives heartbeats.
class member_table
{
public:
    explicit member_table(member_options options = {}) : options_(options) {}

    void on_heartbeat(instant now, const host_id& host, const data_centre_id& data_centre);
    void on_leaving(const host_id& host);
    /// For a host whose process is known to have ended.
    void remove(const host_id& host);
    /// Removes the hosts whose removal_timeout has passed.
    void remove_expired(instant now);

    [[nodiscard]] bool is_live(instant now, const host_id& host) const;
    /// Live hosts that are not about to stop, ordered by id.
    [[nodiscard]] std::vector<member> available(instant now) const;
    [[nodiscard]] const std::map<host_id, member>& all() const { return members_; }

private:
    member_options options_;
    std::map<host_id, member> members_;
};

/// Orders the hosts by rendezvous hashing of the name, those of the preferred data centre first.
std::vector<host_id> rendezvous_order(const std::string& name, const std::vector<member>& hosts,
                                      const data_centre_id& preferred);

} // namespace quincewing
