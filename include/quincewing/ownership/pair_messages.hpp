#pragma once

#include "quincewing/ownership/pair_view.hpp"

#include <cstdint>

namespace quincewing {

/// Leader to standby.
struct pair_beat
{
    server_id server;
    pair_view view;
    std::uint64_t number{};
    /// Newest acknowledgment that the leader has received in this view.
    std::uint64_t confirmed_ack{};
    /// Number of the newest ledger update sent.
    std::uint64_t ledger_number{};
    /// What is left of the hold, in microseconds; 0 when none.
    std::uint64_t hold_left{};
    /// Age of the leader's fresh read of the log, in microseconds; 0 when it has none.
    std::uint64_t fresh_age{};

    template <class F>
    void each_field(F&& f)
    {
        f(server);
        f(view);
        f(number);
        f(confirmed_ack);
        f(ledger_number);
        f(hold_left);
        f(fresh_age);
    }
};

/// Standby to leader.
struct pair_ack
{
    server_id server;
    pair_view view;
    /// The beat that is acknowledged.
    std::uint64_t beat{};
    std::uint64_t number{};
    /// Newest ledger update applied without a gap; 0 asks for the whole ledger.
    std::uint64_t ledger_number{};

    template <class F>
    void each_field(F&& f)
    {
        f(server);
        f(view);
        f(beat);
        f(number);
        f(ledger_number);
    }
};

} // namespace quincewing
