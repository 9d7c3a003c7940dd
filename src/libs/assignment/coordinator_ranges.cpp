#include "quincewing/assignment/coordinator.hpp"

#include <algorithm>

/// coordinator: grants and releases of single ranges.
namespace quincewing {

void coordinator::note_released(const assigned_range& range)
{
    known_released_.insert({range.fence, range.keys.first});
}

// A server that accepted the release refuses older fences from then on, and gives a token once its
// work on the keys has ended: an answer without one may be that of a holder at work, which got an
// earlier release of the keys. A rejection confirms the end of the holder only if a server of
// another service, which knows no keys, now has its address, and the holder's own entry is gone: a
// holder that is full rejects too. A restart of the holder confirms nothing: a grant may have
// reached the new process since.
bool coordinator::confirms_release(const assigned_range& range, call_outcome outcome,
                                   const std::string& handoff) const
{
    if (outcome == call_outcome::doubtful && !options_.release_by_own_answer) {
        return true;
    }
    if (outcome == call_outcome::accepted) {
        return !handoff.empty() || !options_.release_by_token;
    }
    const bool other_service =
        std::any_of(servers_.begin(), servers_.end(), [&](const auto& entry) {
            return entry.second.address == range.previous_owner.address &&
                   entry.second.service != range.service;
        });
    const auto own_entry = servers_.find(range.previous_owner.id);
    const bool listed =
        own_entry != servers_.end() && own_entry->second.start == range.previous_owner.start;
    return outcome == call_outcome::rejected && other_service && !listed;
}

coordinator::range_state& coordinator::state_of(const assigned_range& range)
{
    const auto [found, inserted] = range_states_.try_emplace({range.fence, range.keys.first});
    if (inserted) {
        found->second.released = range.previous_owner.empty() ||
                                 known_released_.contains({range.fence, range.keys.first});
    }
    return found->second;
}

const coordinator::range_state* coordinator::find_state(const assigned_range& range) const
{
    const auto found = range_states_.find({range.fence, range.keys.first});
    return found == range_states_.end() ? nullptr : &found->second;
}

bool coordinator::held(instant now, const assigned_range& range) const
{
    const auto* state = find_state(range);
    return state != nullptr && now < state->granted_until;
}

// Keys that nobody holds go first: a renewal has time.
void coordinator::advance_ranges(instant now)
{
    const auto limit = next_call_number_ + options_.max_calls_per_tick;
    for (const bool renewals : {false, true}) {
        for (const auto& range : table_.ranges) {
            if (next_call_number_ >= limit) {
                return;
            }
            if (held(now, range) == renewals) {
                advance_range(now, range);
            }
        }
    }
}

void coordinator::advance_range(instant now, const assigned_range& range)
{
    auto& state = state_of(range);
    if (state.connection == connection_number{} || state.needs_new_fence) {
        identify_owner(now, range);
    }
    if (state.call_pending || state.needs_new_fence || now < state.next_call ||
        !may_advance(state)) {
        return;
    }
    if (!state.released) {
        release_previous_owner(now, range, state);
    }
    if (state.released && !state.call_pending) {
        grant_range(now, range, state);
    }
}

// The release carries the new fence: from then on the holder refuses every grant under an older
// fence, even one still in flight. Without an answer the holder may keep the keys until the last
// possible grant has expired.
void coordinator::release_previous_owner(instant now, const assigned_range& range,
                                         range_state& state)
{
    const bool expired = now > latest_grant_end(range.previous_owner);
    if (expired) {
        state.released = true;
        if (hooks_.on_released) {
            hooks_.on_released(range, release_proof::expiry);
        }
        return;
    }
    state.call_pending = true;
    const call_number number{next_call_number_++};
    calls_[number] = {.service = range.service, .range = {range.fence, range.keys.first}};
    effects_.emplace_back(
        release_keys{.number = number,
                     .holder = range.previous_owner,
                     .keys = range.keys,
                     .fence = options_.release_with_new_fence ? range.fence : range.fence - 1,
                     .timeout = options_.release_timeout,
                     .own_connection = state.release_doubtful});
}

// A renewal goes to the process that had the last grant, as it is bound to its connection. Any
// other grant names no server either, and reaches whoever has the address: where that matters it is
// bound to a connection on which the server has told its id.
void coordinator::grant_range(instant now, const assigned_range& range, range_state& state)
{
    const bool renewal = state.connection != connection_number{};
    if (!registered(range.owner) || (!renewal && !may_grant(range.owner))) {
        return;
    }
    const bool degraded = now - last_read_ > options_.degraded_after;
    const auto valid_for = degraded ? options_.degraded_grant_validity : options_.grant_validity;
    const call_number number{next_call_number_++};
    state.call_pending = true;
    calls_[number] = {.service = range.service,
                      .range = {range.fence, range.keys.first},
                      .holder = range.owner,
                      .sent = now,
                      .granted_until = now + valid_for,
                      .latest_grant_end =
                          now + options_.grant_timeout + with_clock_drift(valid_for),
                      .is_grant = true};
    effects_.emplace_back(grant_keys{
        .number = number,
        .holder = range.owner,
        .keys = range.keys,
        .fence = range.fence,
        .valid_for = valid_for,
        .handoff = state.handoff,
        .timeout = options_.grant_timeout,
        .newest_connection = renewal ? state.connection : identified_connection(range.owner)});
}

void coordinator::on_call(instant now, call_number number, call_outcome outcome,
                          std::string handoff, connection_number connection)
{
    if (outcome == call_outcome::doubtful) {
        doubt_connection(now, connection);
    }
    finish_proofs(connection, outcome);
    const auto call = calls_.find(number);
    if (call == calls_.end()) {
        return;
    }
    const auto pending = call->second;
    calls_.erase(call);
    if (pending.is_identification) {
        on_identification(now, pending, outcome, connection);
        return;
    }
    if (pending.is_grant &&
        (outcome == call_outcome::not_sent || outcome == call_outcome::unknown)) {
        forget_identity(pending.holder);
    }
    if (pending.is_grant && outcome != call_outcome::not_sent) {
        auto& end = latest_grant_ends_[pending.holder];
        end = std::max(end, pending.latest_grant_end);
    }
    const auto* range = table_.find(pending.service, pending.range.second);
    const auto found = range_states_.find(pending.range);
    if (range == nullptr || range->fence != pending.range.first || found == range_states_.end()) {
        return;
    }
    found->second.call_pending = false;
    found->second.next_call = now + options_.call_retry_delay;
    if (pending.is_grant) {
        on_grant(now, *range, pending, outcome, connection);
    } else {
        on_release(now, *range, outcome, std::move(handoff));
    }
}

// Each range granted on the connection may have been confirmed by the answer of another call. Its
// server gets the grant once more, on an older connection or under a new fence.
void coordinator::doubt_connection(instant now, connection_number connection)
{
    if (connection.value == 0) {
        return;
    }
    forget_identities(connection);
    for (auto& [id, state] : range_states_) {
        if (state.connection == connection) {
            state.granted_until = {};
            state.next_call = std::min(state.next_call, now);
            state.proven = false;
        }
    }
}

// When the server wrote the answer of an earlier call once more, that of a renewal is the next one
// on the connection.
void coordinator::finish_proofs(connection_number connection, call_outcome next)
{
    if (connection.value == 0 || !restricted()) {
        return;
    }
    for (auto& [id, state] : range_states_) {
        if (state.proof_connection == connection) {
            const bool proven =
                next == call_outcome::accepted && proves_owner({.sent = state.proof_sent});
            state.proven = state.proven || proven;
            state.proof_connection = {};
        }
    }
}

void coordinator::on_grant(instant now, const assigned_range& range, const pending_call& call,
                           call_outcome outcome, connection_number connection)
{
    auto& state = state_of(range);
    if (outcome == call_outcome::accepted) {
        const bool held_before = now < state.granted_until;
        state.granted_until = call.granted_until;
        state.maybe_granted = true;
        state.connection = connection;
        state.proof_connection = proves_owner(call) ? connection : connection_number{};
        state.proof_sent = call.sent;
        state.next_call = now + options_.renew_interval;
        if (!held_before && hooks_.on_held) {
            hooks_.on_held(range);
        }
    } else if (state.maybe_granted && outcome == call_outcome::not_sent) {
        // The connection to the process that had the grant is closed. The process now at the
        // address may be a restarted one, whose entry appears in the store later.
        state.needs_new_fence = true;
    } else if (outcome == call_outcome::unknown || outcome == call_outcome::doubtful) {
        state.maybe_granted = true;
        state.needs_new_fence = true;
    } else if (outcome == call_outcome::fenced) {
        state.needs_new_fence = true;
        if (hooks_.on_grant_fenced) {
            hooks_.on_grant_fenced(range);
        }
    }
}

void coordinator::on_release(instant now, const assigned_range& range, call_outcome outcome,
                             std::string handoff)
{
    auto& state = state_of(range);
    if (!confirms_release(range, outcome, handoff)) {
        // A full server may turn away new connections: after that any is tried.
        state.release_doubtful = outcome == call_outcome::doubtful;
        if (state.release_doubtful) {
            state.next_call = now;
            advance_range(now, range);
        }
        return;
    }
    state.released = true;
    state.handoff = std::move(handoff);
    state.next_call = now;
    if (hooks_.on_released) {
        hooks_.on_released(range, state.handoff.empty() ? release_proof::other_service
                                                        : release_proof::handoff);
    }
    advance_range(now, range);
}

} // namespace quincewing
