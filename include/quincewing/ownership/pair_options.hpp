#pragma once

#include "quincewing/base/time.hpp"

namespace quincewing {

struct pair_options
{
    /// How long one acknowledgment of the standby lets the leader act.
    duration lease{seconds{1}};
    /// Most that two clocks drift apart within one lease or hold.
    duration drift_bound{millis{20}};
    duration beat_every{millis{200}};
    /// Silence after which a member asks the log for a change; at least the lease.
    duration patience{millis{1050}};
    /// How long a member acts without a fresh read of the log, and third parties wait.
    duration isolation_hold{seconds{3600}};
    /// Pause between two tries to append the same change.
    duration propose_every{millis{300}};
};

/// Rules switched off one at a time, to show that the randomised test notices.
struct pair_faults
{
    bool lease_from_ack_arrival{};
    bool members_by_address{};
    bool proof_without_time_bound{};
    bool no_hold_for_third_party{};
    bool hold_not_inherited{};
    bool unheard_standby_is_full{};
    bool beat_new_standby_at_once{};
    bool takeover_without_wait{};
};

} // namespace quincewing
