#pragma once

#include "quincewing/admission/crash_guard.hpp"
#include "quincewing/admission/server_queue.hpp"
#include "quincewing/ledger/ledger.hpp"
#include "quincewing/ownership/pair_options.hpp"

#include <cstddef>

namespace quincewing {

/// Rules switched off one at a time, to show that the randomised test notices.
struct agent_faults
{
    bool dispatch_before_copy{};
    bool ledger_stays_behind{};
    bool grant_without_proof{};
    bool no_wait_for_grant_lapse{};
    bool unknown_called_not_run{};
    bool run_again_after_unknown{};
};

struct agent_options
{
    pair_options pair;
    pair_faults faults_of_pair;
    agent_faults faults;
    queue_options queue;
    ledger_options ledger;
    /// The servers of this service refuse requests and orders under an old fence.
    bool checks_fences{};
    duration grant_lease{seconds{1}};
    duration renew_interval{millis{250}};
    /// Time without any answer to renewals after which the server counts as lost.
    duration server_patience{millis{1000}};
    /// Longest that a request may be in flight at a server.
    duration max_request_time{seconds{10}};
    /// A move waits this long for requests in flight before their answers are given up.
    duration drain_timeout{seconds{5}};
    /// Time in which a shard on its way here is expected to be served.
    duration move_estimate{millis{500}};
    std::size_t max_waiting{1000};
    duration ask_again_every{millis{100}};
    /// The log counts as away after this long without an answer.
    duration log_patience{millis{1500}};
};

} // namespace quincewing
