#pragma once

#include "quincewing/admission/crash_guard.hpp"
#include "quincewing/admission/server_queue.hpp"
#include "quincewing/ledger/ledger.hpp"
#include "quincewing/ownership/pair_options.hpp"

#include <cstddef>

namespace quincewing {

/// Safety rules that the randomised tests switch off, one at a time, to check that they detect
/// the violation.
struct agent_faults
{
    bool dispatch_before_replication{};
    bool release_without_ledger{};
    bool grant_without_proof{};
    bool skip_grant_expiry_wait{};
    bool report_unknown_as_not_run{};
    bool rerun_after_unknown{};
};

/// How one backend server and its shards are managed.
struct agent_options
{
    pair_options pair;
    pair_faults faults_of_pair;
    agent_faults faults;
    queue_options queue;
    ledger_options ledger;
    /// The servers of this service reject requests and commands with an old fence.
    bool checks_fences{};
    /// How long a server may serve a shard after a grant without renewal.
    duration grant_lease{seconds{1}};
    duration renew_interval{millis{250}};
    /// The server counts as lost when no renewal was answered for this long.
    duration server_patience{millis{1000}};
    /// Longest time that a request may be in flight at a server.
    duration max_request_time{seconds{10}};
    /// Requests still in flight this long after a shard began to drain are aborted.
    duration drain_timeout{seconds{5}};
    /// Expected time until a shard that is moving to this server is served.
    duration move_estimate{millis{500}};
    std::size_t max_waiting_per_shard{1000};
    /// Interval at which requests for a release, and unacknowledged releases, are sent again.
    duration release_retry_interval{millis{100}};
    /// The log counts as unreachable after this long without an answer.
    duration log_timeout{millis{1500}};
};

} // namespace quincewing
