#include "quincewing/assignment/coordinator.hpp"

#include <algorithm>
#include <iterator>

/// coordinator: changes of the table.
namespace quincewing {

void coordinator::update_table(instant now)
{
    if (!may_append(now) || stopping_ || standing_aside_ || table_lost_) {
        return;
    }
    if (table_.unsettled && now > inherited_grants_end_) {
        auto next = table_;
        settle(next);
        start_append(now, std::move(next));
        return;
    }
    if (now < next_balance_ && !has_unstored_change()) {
        release_pending_since_ = now;
        return;
    }
    auto next = table_;
    const bool owners_cleared = clear_released_owners(next);
    const bool fences_changed = assign_new_fences(next);
    const bool moved = apply_moves(now, next);
    if (!owners_cleared) {
        release_pending_since_ = now;
    }
    // Releases without other changes wait, so that several share one append.
    constexpr millis release_batch_delay{500};
    if (moved) {
        merge_adjacent_ranges(next);
    }
    if (fences_changed || moved ||
        (owners_cleared && now - release_pending_since_ > release_batch_delay)) {
        start_append(now, std::move(next));
    }
}

bool coordinator::has_unstored_change() const
{
    return std::any_of(table_.ranges.begin(), table_.ranges.end(), [&](const auto& range) {
        const auto* state = find_state(range);
        return state != nullptr && ((state->needs_new_fence && may_grant(range.owner) &&
                                     may_change(table_, range.service, range.keys)) ||
                                    (state->released && !range.previous_owner.empty()));
    });
}

bool coordinator::assign_new_fences(assignment_table& next)
{
    bool changed = false;
    for (auto& range : next.ranges) {
        const auto* state = find_state(range);
        // An owner that is not identified gets no grant, so it gets no new fence either; its last
        // grant still counts.
        if (state == nullptr || !state->needs_new_fence || !may_grant(range.owner) ||
            !may_change(table_, range.service, range.keys)) {
            continue;
        }
        // Only one process listens at the owner's address, and it gets a grant only when it is
        // certain to be one of the owner. Whichever start of it that is, it may be granted the keys
        // under a new fence, and then refuses calls in flight under the old one.
        range.fence = ++next.last_fence;
        changed = true;
    }
    return changed;
}

// Merges adjacent ranges of one owner, as each range costs a call per renewal. The server has the
// keys already, so a new fence is enough.
void coordinator::merge_adjacent_ranges(assignment_table& next) const
{
    if (restricted()) {
        return;
    }
    std::vector<assigned_range> out;
    for (const auto& range : next.ranges) {
        const bool joins = !out.empty() && out.back().service == range.service &&
                           out.back().owner == range.owner &&
                           std::uint32_t{out.back().keys.last} + 1 == range.keys.first &&
                           out.back().previous_owner.empty() && range.previous_owner.empty();
        if (!joins) {
            out.push_back(range);
            continue;
        }
        out.back().keys.last = range.keys.last;
        out.back().fence = ++next.last_fence;
    }
    next.ranges = std::move(out);
}

bool coordinator::clear_released_owners(assignment_table& next) const
{
    bool changed = false;
    for (auto& range : next.ranges) {
        const auto* state = find_state(range);
        if (!range.previous_owner.empty() && state != nullptr && state->released) {
            range.previous_owner = {};
            changed = true;
        }
    }
    return changed;
}

bool coordinator::apply_moves(instant now, assignment_table& next)
{
    if (now < next_balance_) {
        return false;
    }
    next_balance_ = now + options_.balance_interval;
    const bool initial = table_.ranges.empty();
    if (initial && now - server_count_changed_at_ < options_.initial_assignment_delay) {
        return false;
    }
    const auto ready = ready_servers();
    auto moves = plan_moves({.table = next,
                             .ready = ready,
                             .load = load_,
                             .services = keyed_services_,
                             .rate_limits = rate_limits_,
                             .recent_moves = recent_moves(now)},
                            options_.balance);
    std::erase_if(moves, [&](const auto& it) { return !may_change(next, it.service, it.keys); });
    for (const auto& move : moves) {
        apply_move(next, move);
        moved_at_[{move.service, move.keys}] = now;
    }
    return !moves.empty();
}

std::vector<recent_move> coordinator::recent_moves(instant now)
{
    const auto memory = options_.balance.heavy_key_rest;
    std::erase_if(moved_at_, [&](const auto& it) { return now - it.second > memory; });
    std::vector<recent_move> out;
    out.reserve(moved_at_.size());
    for (const auto& [keys, at] : moved_at_) {
        out.push_back({.service = keys.first, .keys = keys.second, .age = now - at});
    }
    return out;
}

// Cuts the keys out of their current ranges. The remaining keys keep owner and fence.
void coordinator::apply_move(assignment_table& next, const planned_move& move) const
{
    const auto& server = servers_.at(move.to);
    const auto affected = next.overlapping(move.service, move.keys);
    const auto begin = next.ranges.begin() + (affected.data() - next.ranges.data());
    const auto end = begin + static_cast<std::ptrdiff_t>(affected.size());
    std::vector<assigned_range> out;
    if (affected.empty()) {
        out.push_back({.service = move.service, .keys = move.keys});
        take_over(next, out.back(), server);
    }
    for (auto it = begin; it != end; ++it) {
        if (it->keys.first < move.keys.first) {
            out.push_back(*it);
            out.back().keys.last = static_cast<key_number>(move.keys.first - 1);
        }
        out.push_back(*it);
        out.back().keys = {std::max(it->keys.first, move.keys.first),
                           std::min(it->keys.last, move.keys.last)};
        take_over(next, out.back(), server);
        if (move.keys.last < it->keys.last) {
            out.push_back(*it);
            out.back().keys.first = static_cast<key_number>(move.keys.last + 1);
        }
    }
    const auto at = next.ranges.erase(begin, end);
    next.ranges.insert(at, std::make_move_iterator(out.begin()),
                       std::make_move_iterator(out.end()));
}

void coordinator::take_over(assignment_table& next, assigned_range& range,
                            const backend_server& server) const
{
    range.previous_owner = range.owner;
    range.owner = {.id = server.id, .start = server.start, .address = server.address};
    range.fence = ++next.last_fence;
    if (hooks_.on_move_started) {
        hooks_.on_move_started(range);
    }
}

} // namespace quincewing
