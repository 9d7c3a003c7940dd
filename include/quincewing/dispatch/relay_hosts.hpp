#pragma once

#include "quincewing/base/ids.hpp"
#include "quincewing/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <utility>
#include <vector>

namespace quincewing {

/// The services of which a host reaches no server.
using unreached_services = std::set<service_id>;

/// The other hosts, as ways to servers that this one does not reach: by what they tell, and by what
/// became of requests that went by way of them. Does no I/O and reads no clock.
class relay_hosts
{
public:
    relay_hosts(data_centre_id own, std::uint32_t seed) : own_(std::move(own)), random_(seed) {}

    /// A link to the host was made, and lost.
    void add(const host_id& host, const data_centre_id& data_centre);
    void remove(const host_id& host);
    /// The host stops: no request goes by way of it.
    void set_leaving(const host_id& host);
    /// What the host told, which may be before the link to it is made.
    void set_unreached(const host_id& host, unreached_services services);
    /// The host did not reach a server of the service. It is passed over for a time, as long as
    /// there are others.
    void on_failed(instant now, const host_id& host, const service_id& service);

    /// A host for a request to the service, in this data centre if there is one; after a failure
    /// rather one in another. None if all others were tried or don't reach it.
    std::optional<host_id> choose(instant now, const service_id& service,
                                  const std::set<host_id>& tried);
    /// Of these services, the number that the best placed host does not reach; none if all hosts
    /// stop or there is none.
    [[nodiscard]] std::optional<std::size_t>
    fewest_unreached(const std::set<service_id>& services) const;
    /// The host does not reach some service.
    [[nodiscard]] bool cut(const host_id& host) const;
    [[nodiscard]] std::size_t cut_hosts() const;

private:
    /// Hosts that reach a service, in this host's data centre and elsewhere.
    struct ways
    {
        std::vector<host_id> near;
        std::vector<host_id> far;
    };

    const ways& ways_to(const service_id& service);
    [[nodiscard]] bool passed_over(instant now, const host_id& host,
                                   const service_id& service) const;
    /// From a random place on. None if all were tried or, unless failed ones may be chosen, failed.
    std::optional<host_id> choose_from(instant now, const std::vector<host_id>& hosts,
                                       const service_id& service, const std::set<host_id>& tried,
                                       bool may_have_failed);

    data_centre_id own_;
    std::minstd_rand random_;
    [[nodiscard]] const unreached_services& unreached_by(const host_id& host) const;

    std::map<host_id, data_centre_id> hosts_;
    /// Told by hosts to which this one may have no link yet.
    std::map<host_id, unreached_services> unreached_;
    /// Those that stop may link anew before they end.
    std::set<host_id> leaving_;
    /// Kept ready, as a host that is cut off asks for each request. Empty after a change.
    std::map<service_id, ways> ways_;
    std::map<std::pair<host_id, service_id>, instant> failed_at_;
};

} // namespace quincewing
