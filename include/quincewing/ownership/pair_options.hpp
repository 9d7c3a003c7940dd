#pragma once

#include "quincewing/base/time.hpp"

namespace quincewing {

/// Timing of a pair.
struct pair_options
{
    /// How long an acknowledged heartbeat lets the leader act, counted from its sending.
    duration lease{seconds{1}};
    /// Maximum drift between two hosts' clocks within one lease or hold.
    duration drift_bound{millis{20}};
    duration heartbeat_interval{millis{200}};
    /// A member that hears nothing from the other for this long proposes a change of the pair in
    /// the log; at least the lease.
    duration silence_timeout{millis{1050}};
    /// How long a leader may act without a complete log read. A host from outside the pair that
    /// takes over waits as long before it acts.
    duration isolation_hold{seconds{3600}};
    /// Interval between attempts to append a change of the pair.
    duration propose_interval{millis{300}};
};

/// Disables single safety rules, so that mutation tests can show that the randomised test detects
/// each one's absence.
struct pair_faults
{
    bool lease_from_ack_arrival{};
    bool members_by_address{};
    bool proof_without_time_bound{};
    bool no_hold_for_third_party{};
    bool hold_not_inherited{};
    bool unsynced_standby_treated_as_synced{};
    bool no_delay_for_new_standby{};
    bool takeover_without_wait{};
};

} // namespace quincewing
