#pragma once

#include "quincewing/base/time.hpp"
#include "quincewing/routing/backend_server.hpp"

#include <cstdint>
#include <map>

namespace quincewing {

struct warm_up_options
{
    /// Added to the time that an entry tells: servers renew their entries about this often.
    duration margin{millis{900}};
};

/// Which servers are cold: they are slow and end if they get requests at more than a low rate.
/// Reads no clock.
class warm_up_tracker
{
public:
    explicit warm_up_tracker(warm_up_options options = {}) : options_(options) {}

    /// The servers as they are listed. A server is cold for the time that its entry told when it
    /// turned cold, or until its entry tells none. A time that rises begins anew.
    void on_servers(instant now, const backend_servers& servers);
    [[nodiscard]] bool cold(instant now, const backend_server& server) const;
    /// Whether any server may be cold.
    [[nodiscard]] bool any() const { return !cold_.empty(); }

private:
    struct cold_server
    {
        server_start start;
        instant until;
        /// By the entry, in microseconds.
        std::uint64_t told{};
    };

    warm_up_options options_;
    std::map<server_id, cold_server> cold_;
};

} // namespace quincewing
