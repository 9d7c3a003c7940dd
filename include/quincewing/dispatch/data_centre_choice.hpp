#pragma once

#include "quincewing/base/time.hpp"

#include <cstdint>
#include <optional>

namespace quincewing {

/// What traffic between data centres costs.
struct transfer_terms
{
    /// Time by which an answer from another data centre must come earlier to be worth leaving, for
    /// each request and for each MiB of request and answer.
    duration cost_per_request{millis{5}};
    duration cost_per_mib{millis{1100}};
    /// Requests of at least this size leave only if they would be late otherwise.
    std::uint64_t large_bytes{64UL * 1024};
};

/// The ways in which a request can be served.
struct data_centre_offer
{
    /// When the answer is expected from a server that has a free slot now; empty: there is none.
    std::optional<instant> own;
    std::optional<instant> other;
    /// The same from the own data centre if the request waits there for a slot; empty: it has no
    /// server that could run it.
    std::optional<instant> own_after_wait;
    instant due;
    /// Expected size of request and answer.
    std::uint64_t bytes{};
};

enum class data_centre_verdict
{
    stay,
    wait,
    leave
};

/// Cost of the transfer of so many bytes to another data centre and back, as time.
duration transfer_cost(const transfer_terms& terms, std::uint64_t bytes);

/// Whether a request is served in its own data centre, waits for it, or leaves it.
data_centre_verdict choose_data_centre(const transfer_terms& terms, const data_centre_offer& offer);

} // namespace quincewing
