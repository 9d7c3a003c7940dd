#pragma once

#include "quincewing/base/time.hpp"

namespace quincewing {

struct pair_options
{
    /// How long one acknowledgment of the standby lets the leader act.
    duration lease{seconds{1}};
    /// Most that two clocks drift apart within one lease or hold.
    duration drift_bound{millis{20}};
    duration heartbeat_interval{millis{200}};
    /// Silence after which a member asks the log for a change; at least the lease.
    duration silence_timeout{millis{1050}};
    /// How long a member acts without a fresh read of the log, and third parties wait.
    duration isolation_hold{seconds{3600}};
    /// Pause between two tries to append the same change.
    duration propose_interval{millis{300}};
};

/// Rules switched off one at a time, to show that the randomised test notices.
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
