#pragma once

#include "quincewing/ownership/pair_view.hpp"

#include <cstdint>

namespace quincewing {

/// Leader to standby.
struct pair_heartbeat
{
    server_id server;
    pair_view view;
    std::uint64_t number{};
    /// Newest acknowledgment that the leader has received in this view.
    std::uint64_t confirmed_ack{};
    /// Number of the newest ledger update sent.
    std::uint64_t ledger_update_number{};
    /// What is left of the hold, in microseconds; 0 when none.
    std::uint64_t hold_remaining{};
    /// Age of the leader's fresh read of the log, in microseconds; 0 when it has none.
    std::uint64_t log_read_age{};

    template <class F>
    void each_field(F&& f)
    {
        f(server);
        f(view);
        f(number);
        f(confirmed_ack);
        f(ledger_update_number);
        f(hold_remaining);
        f(log_read_age);
    }
};

/// Standby to leader.
struct pair_ack
{
    server_id server;
    pair_view view;
    /// The heartbeat that is acknowledged.
    std::uint64_t heartbeat{};
    std::uint64_t number{};
    /// Newest ledger update applied without a gap; 0 asks for the whole ledger.
    std::uint64_t ledger_update_number{};

    template <class F>
    void each_field(F&& f)
    {
        f(server);
        f(view);
        f(heartbeat);
        f(number);
        f(ledger_update_number);
    }
};

} // namespace quincewing
