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
    instant last_heard{};
    /// The host stops soon and takes on nothing new.
    bool leaving{};
};

struct member_options
{
    /// Silence after which a host no longer counts as live.
    duration liveness_timeout{millis{1500}};
    /// Silence after which it is forgotten.
    duration removal_timeout{seconds{600}};
};

/// The entry hosts that this host hears.
class member_table
{
public:
    explicit member_table(member_options options = {}) : options_(options) {}

    void on_heartbeat(instant now, const host_id& host, const data_centre_id& data_centre);
    void on_leaving(const host_id& host);
    /// The host's process is known to be gone.
    void remove(const host_id& host);
    void remove_expired(instant now);

    [[nodiscard]] bool is_live(instant now, const host_id& host) const;
    /// Live hosts that do not leave, in the order of their ids.
    [[nodiscard]] std::vector<member> available(instant now) const;
    [[nodiscard]] const std::map<host_id, member>& all() const { return members_; }

private:
    member_options options_;
    std::map<host_id, member> members_;
};

/// The hosts ordered by rendezvous hashing for this name, the preferred data centre first.
std::vector<host_id> rendezvous_order(const std::string& name, const std::vector<member>& hosts,
                                      const data_centre_id& preferred);

} // namespace quincewing
