#include "quincewing/assignment/coordinator.hpp"

#include <algorithm>
#include <utility>

/// coordinator: a store that comes back older.
///
/// The copy may lack terms, moves and fences that servers act by. Fences of an era are above all of
/// the earlier ones. The first table of an era is unsettled: nobody knows which grants the copy
/// lacks. Until the last of them is over, keys are granted only to a process that answers under the
/// fence that it had from this host: a coordinator that the copy lacks would have raised it before
/// it gave the keys to another server.
namespace quincewing {

namespace {

// An era has more fences than coordinators can give out between two drills, and the fences of a
// million eras are numbers that JSON carries exactly.
constexpr unsigned fence_bits_of_era = 32;

} // namespace

std::uint64_t coordinator::first_fence() const
{
    return options_.fences_above_earlier_eras ? era_.value << fence_bits_of_era : 0;
}

void coordinator::on_store_era(instant now, store_era era)
{
    if (era <= era_) {
        return;
    }
    const bool rose = era_ != store_era{};
    era_ = era;
    if (!rose) {
        return;
    }
    era_rose_ = true;
    end_ = {};
    table_known_ = false;
    note_table_lost(now);
    if (coordinating_) {
        request_read(now);
    }
}

void coordinator::note_table_lost(instant now)
{
    table_lost_ = true;
    table_lost_at_ = now;
    // The coordinator of the earlier era knows its grants and tries first to go on.
    last_heartbeat_ = std::max(last_heartbeat_, now);
    term_vacant_ = false;
    pending_append_.reset();
    append_outcome_unknown_ = false;
    read_before_append_ = true;
    for (auto& [id, state] : range_states_) {
        state.proven = false;
    }
}

bool coordinator::of_current_era(const assignment_table& stored) const
{
    if (!options_.heed_era_of_table || era_ == store_era{} || stored.era >= era_) {
        return true;
    }
    if (stored.era != store_era{} || era_rose_) {
        return false;
    }
    // Stored by a build that knows no eras, or nothing is stored yet.
    return stored.term > 0 || (options_.first_start && table_.term == 0);
}

void coordinator::on_table_of_earlier_era(instant now, const assignment_table& stored)
{
    if (!table_lost_) {
        note_table_lost(now);
    }
    read_before_append_ = false;
    if (older(table_, stored)) {
        const bool own = stored.coordinator == options_.self;
        adopt_table(stored);
        if (coordinating_ && !own) {
            lose_term("another host had the term in an earlier era");
        }
    }
    if (coordinating_) {
        resume_term(now);
    } else if (takeover_pending_) {
        try_takeover(now);
    }
}

// Whoever may have taken the term since the last confirmed read has waited for the grants of this
// host, so that it moved no key without raising its fence at the owner.
duration coordinator::max_resume_age() const
{
    return options_.grant_timeout + with_clock_drift(options_.max_grant_validity) -
           options_.read_validity;
}

void coordinator::resume_term(instant now)
{
    if (stopping_ || standing_aside_ || now - last_read_ > max_resume_age()) {
        lose_term("the store came back older");
        return;
    }
    if (!may_append(now)) {
        return;
    }
    auto next = table_;
    next.term += 1;
    next.last_fence = std::max(next.last_fence, first_fence());
    start_append(now, std::move(next));
}

void coordinator::on_term_resumed()
{
    earlier_eras_end_ = table_lost_at_ + options_.read_validity + options_.grant_timeout;
    inherited_grants_end_ = std::max(
        inherited_grants_end_, earlier_eras_end_ + with_clock_drift(options_.max_grant_validity));
    if (hooks_.on_term_change) {
        hooks_.on_term_change("resumed", table_);
    }
}

bool coordinator::restricted() const
{
    return options_.wait_in_new_era && (table_lost_ || table_.unsettled);
}

bool coordinator::proves_owner(const pending_call& grant) const
{
    const bool late_enough = !options_.prove_after_earlier_eras || grant.sent >= earlier_eras_end_;
    return restricted() && !table_lost_ && late_enough;
}

bool coordinator::may_advance(const range_state& state) const
{
    const bool renewal = state.released && state.maybe_granted && state.connection.value != 0;
    return !restricted() || state.proven || renewal;
}

bool coordinator::all_proven(const service_id& service, key_range keys) const
{
    std::uint32_t covered = 0;
    for (const auto& range : table_.overlapping(service, keys)) {
        const auto* state = find_state(range);
        if (state == nullptr || !state->proven) {
            return false;
        }
        covered +=
            std::min(range.keys.last, keys.last) - std::max(range.keys.first, keys.first) + 1U;
    }
    return covered == keys.size();
}

bool coordinator::may_change(const assignment_table& table, const service_id& service,
                             key_range keys) const
{
    const bool unassigned = table.overlapping(service, keys).empty();
    return !restricted() || unassigned || all_proven(service, keys);
}

void coordinator::settle(assignment_table& next) const
{
    next.unsettled = false;
    for (auto& range : next.ranges) {
        const auto* state = find_state(range);
        const bool proven = state != nullptr && state->proven;
        if (!proven && range.fence < first_fence()) {
            range.fence = ++next.last_fence;
        }
    }
}

} // namespace quincewing
