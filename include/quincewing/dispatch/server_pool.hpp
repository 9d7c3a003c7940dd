#pragma once

#include "quincewing/dispatch/dispatch_request.hpp"
#include "quincewing/dispatch/rate_bucket.hpp"
#include "quincewing/dispatch/server_estimate.hpp"
#include "quincewing/routing/backend_server.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace quincewing {

struct server_pool_options
{
    estimate_options estimate;
    /// Requests granted to a server beyond its slots while many wait, for each slot, so that a slot
    /// is not idle while a report and the next grant are in transit.
    std::uint32_t extra_grants_per_slot{0};
    /// Share of a server's slots that this dispatcher may fill; below 1 where several fill them.
    double slots_share{1.0};
};

/// Where a granted request begins.
enum class slot_kind : std::uint8_t
{
    /// In one of the server's slots.
    own,
    /// In the server's own queue, until it has a slot.
    extra
};

/// A server of the group.
struct pooled_server
{
    backend_server server;
    server_estimate estimate;
    std::uint32_t slots_in_use{};
    /// Only if its rate is limited.
    std::optional<rate_bucket> bucket;
    instant last_grant_at{};
    /// False: no longer in the list of servers, but requests still run there.
    bool listed{true};
};

/// What the servers that may run a request can do together.
struct pool_capacity
{
    /// Number of servers that may run it.
    std::size_t servers{};
    /// One of them is not backing off.
    bool ready{};
    /// Requests completed in a microsecond with the slots that may be used now.
    double per_us{};
    /// The same if servers that are being probed answer: then all their slots are used again.
    double possible_per_us{};
    /// Mean over the servers.
    duration processing_time{};
    duration deviation{};
    /// Time until the first of them ends its backoff.
    duration backoff_left{};
    /// All of them limit their rate: then the wait for the first token, and the sum of the rates.
    bool all_limited{};
    duration first_token{};
    request_rate limited_rate;
};

/// The servers of a dispatcher's group, with the slots in use.
class server_pool
{
public:
    explicit server_pool(server_pool_options options) : options_(options) {}

    /// Replaces the list of servers that may get requests.
    void set_servers(const std::vector<backend_server>& servers);
    /// Servers that are not in the map have no limit.
    void set_rate_limits(instant now, const std::map<server_id, request_rate>& limits);
    /// Whether any server has a limit.
    [[nodiscard]] bool limited() const;

    [[nodiscard]] pooled_server* find(const server_id& id);
    /// Frees a slot of the server.
    void release_slot(const server_id& id);
    /// Servers with a free slot.
    [[nodiscard]] std::vector<pooled_server*> with_free_slots(instant now,
                                                              slot_kind kind = slot_kind::own);
    [[nodiscard]] std::uint32_t free_slots(instant now, const pooled_server& it,
                                           slot_kind kind = slot_kind::own) const;
    [[nodiscard]] std::size_t size() const { return servers_.size(); }

    [[nodiscard]] static bool eligible(const pooled_server& it, const dispatch_request& request);
    [[nodiscard]] bool any_eligible(const dispatch_request& request) const;
    [[nodiscard]] pool_capacity capacity_for(instant now, const dispatch_request& request) const;
    /// The same of the servers in one data centre.
    [[nodiscard]] pool_capacity capacity_in(instant now, const dispatch_request& request,
                                            const data_centre_id& data_centre) const;
    /// Mean over all listed servers.
    [[nodiscard]] duration processing_time() const;

private:
    [[nodiscard]] pool_capacity
    capacity_if(instant now, const std::function<bool(const pooled_server&)>& wanted) const;
    [[nodiscard]] std::uint32_t slot_limit(instant now, const pooled_server& it) const;
    /// Slots of a server that answers.
    [[nodiscard]] std::uint32_t usable_slots(instant now, const pooled_server& it) const;
    [[nodiscard]] static double completions_per_us(const pooled_server& it,
                                                   duration processing_time, std::uint32_t slots);

    server_pool_options options_;
    /// In order of their ids.
    std::vector<pooled_server> servers_;
};

} // namespace quincewing
