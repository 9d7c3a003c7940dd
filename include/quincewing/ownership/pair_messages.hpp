#pragma once

#include "quincewing/ownership/pair_view.hpp"

#include <cstdint>

namespace quincewing {

/// Heartbeat from the leader to the standby.
struct pair_heartbeat
{
    server_id server;
    pair_view view;
    std::uint64_t number{};
    /// Highest number of an acknowledgment that the leader received from a synchronised standby in
    /// this view.
    std::uint64_t confirmed_ack{};
    /// Number of the newest ledger update sent.
    std::uint64_t ledger_update_number{};
    /// Remaining hold in microseconds; 0 when none.
    std::uint64_t hold_remaining{};
    /// Age of the leader's latest complete log read, in microseconds; 0 when it has none.
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

/// The standby's acknowledgment of a heartbeat.
struct pair_ack
{
    server_id server;
    pair_view view;
    /// Number of the acknowledged heartbeat.
    std::uint64_t heartbeat{};
    std::uint64_t number{};
    /// Newest ledger update applied without a gap; 0 requests the whole ledger.
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
