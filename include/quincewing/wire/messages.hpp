#pragma once

#include "quincewing/admission/crash_mark.hpp"
#include "quincewing/deployment/server_condition.hpp"
#include "quincewing/wire/coordination_messages.hpp"
#include "quincewing/wire/owner_messages.hpp"
#include "quincewing/wire/quota_messages.hpp"
#include "quincewing/wire/reach_messages.hpp"
#include "quincewing/wire/slot_messages.hpp"

#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace quincewing {

/// The sender stops soon: no new work for it.
struct host_leaving
{
    bool leaving{true};

    template <class F>
    void each_field(F&& f)
    {
        f(leaving);
    }
};

using message =
    std::variant<pair_heartbeat, pair_ack, ledger_update, release_request, shard_release,
                 release_taken, leader_hint, heartbeat, state_request, state_reply, crash_report,
                 late_answer, shard_hint, coordinator_beat, news_request, coordinator_news,
                 load_report, place_request, place_queued, place_given, place_refused, place_done,
                 host_leaving, place_declined, place_check, place_check_result, crash_digest,
                 server_condition_report, server_condition_digest, server_condition_request,
                 configuration_request, configuration_reply, host_reach, term_given_up,
                 reach_question, reach_result, quota_request, quota_reply>;

/// A message between two entry hosts; dropped unless it is for this very process.
struct envelope
{
    /// Version of this format.
    std::uint32_t version{1};
    host_id from;
    host_id to;
    message body;

    template <class F>
    void each_field(F&& f)
    {
        f(version);
        f(from);
        f(to);
        f(body);
    }
};

std::string encode_envelope(const envelope& it);
/// An envelope whose body is encoded already.
std::string encode_envelope(const host_id& from, const host_id& to, std::string_view body);
std::string encode_body(const message& body);
tl::expected<envelope, std::string> decode_envelope(std::string_view buf);

} // namespace quincewing
