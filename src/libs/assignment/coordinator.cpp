#include "quincewing/assignment/coordinator.hpp"

#include <algorithm>
#include <iterator>

namespace quincewing {

coordinator::coordinator(coordinator_options options, coordinator_hooks hooks)
    : options_(std::move(options)), hooks_(std::move(hooks))
{
}

bool coordinator::acting(instant now) const
{
    const bool current = !options_.require_recent_read || now - last_read_ < options_.read_validity;
    return coordinating_ && current;
}

// The server counts the time from the arrival of the grant, on a clock that may run slow. A clock
// slow by d takes 1 / (1 - d) of the time, slightly more than 1 + d, hence the factor.
duration coordinator::with_clock_drift(duration time) const
{
    return time + std::chrono::duration_cast<duration>(time * options_.clock_drift * 1.05);
}

// ---- table in the store

void coordinator::request_read(instant now)
{
    if (read_pending_) {
        return;
    }
    read_pending_ = true;
    store_call_sent_ = now;
    effects_.emplace_back(read_table{});
}

// A takeover that waited for the read has failed with it; the next tick may begin another one.
void coordinator::on_table_unreadable(instant)
{
    read_pending_ = false;
    takeover_pending_ = false;
}

void coordinator::on_table_read(instant sent, instant now, std::optional<assignment_table> table,
                                log_offset end)
{
    read_pending_ = false;
    if (pending_append_ && !append_outcome_unknown_) {
        return;
    }
    // Read before an own append took effect: the known table is newer.
    if (table_known_ && end < end_) {
        return;
    }
    // The stream shows whether an append without an answer took effect. If it is not there it may
    // still arrive, and then the next append at this offset fails.
    pending_append_.reset();
    append_outcome_unknown_ = false;
    read_before_append_ = false;
    end_ = end;
    table_known_ = true;
    const auto stored = table ? std::move(*table) : assignment_table{};
    const bool own = stored.coordinator == options_.self && stored.term > 0;
    if (stored.term > table_.term) {
        last_heartbeat_ = now;
    }
    term_vacant_ = stored.coordinator.value.empty();
    adopt_table(stored);
    if (own && !coordinating_) {
        begin_term(now);
    } else if (!own && coordinating_) {
        lose_term("another host holds the term");
    }
    if (own) {
        last_read_ = std::max(last_read_, sent);
        return;
    }
    if (takeover_pending_) {
        try_takeover(now);
    }
}

// A version is stored once, so the same one needs no second look.
void coordinator::adopt_table(assignment_table table)
{
    if (table.term == table_.term && table.revision == table_.revision) {
        return;
    }
    carry_over_states(table);
    table_ = std::move(table);
    if (range_states_.empty() && known_released_.empty()) {
        return;
    }
    std::set<std::pair<std::uint64_t, key_number>> present;
    for (const auto& range : table_.ranges) {
        present.insert({range.fence, range.keys.first});
    }
    std::erase_if(range_states_, [&](const auto& entry) { return !present.contains(entry.first); });
    std::erase_if(known_released_, [&](const auto& id) { return !present.contains(id); });
}

// A range that was split, merged or given a new fence stays granted to its owner, as the grants of
// the ranges that it was made from are still valid.
void coordinator::carry_over_states(const assignment_table& next)
{
    if (range_states_.empty()) {
        return;
    }
    for (const auto& range : next.ranges) {
        if (!range.previous_owner.empty() || find_state(range) != nullptr) {
            continue;
        }
        if (auto state = carried_state(range)) {
            range_states_[{range.fence, range.keys.first}] = *state;
        }
    }
}

std::optional<coordinator::range_state>
coordinator::carried_state(const assigned_range& range) const
{
    std::uint32_t covered = 0;
    range_state merged{.released = true, .granted_until = instant::max()};
    for (const auto& old : table_.overlapping(range.service, range.keys)) {
        const auto* state = find_state(old);
        if (old.owner != range.owner || state == nullptr) {
            continue;
        }
        const key_range common{std::max(old.keys.first, range.keys.first),
                               std::min(old.keys.last, range.keys.last)};
        covered += common.size();
        merged.granted_until = std::min(merged.granted_until, state->granted_until);
        if (old.fence == range.fence && state->maybe_granted) {
            merged.maybe_granted = true;
            merged.connection = state->connection;
        }
    }
    if (covered != range.keys.size()) {
        return {};
    }
    return merged;
}

void coordinator::begin_term(instant now)
{
    coordinating_ = true;
    takeover_pending_ = false;
    range_states_.clear();
    latest_grant_ends_.clear();
    calls_.clear();
    // The previous coordinator may act for as long as its last read allows, and its last grants are
    // valid for their full time after that.
    const bool wait = options_.wait_after_new_term && !after_clean_stop_;
    const auto previous_acts = wait ? options_.read_validity : duration{0};
    inherited_grants_end_ = now + previous_acts + options_.grant_timeout +
                            with_clock_drift(options_.max_grant_validity);
    server_count_changed_at_ = now;
    if (hooks_.on_term_change) {
        hooks_.on_term_change("taken", table_);
    }
}

void coordinator::lose_term(const char* why)
{
    coordinating_ = false;
    range_states_.clear();
    calls_.clear();
    pending_append_.reset();
    append_outcome_unknown_ = false;
    if (hooks_.on_term_change) {
        hooks_.on_term_change(why, table_);
    }
}

void coordinator::start_append(instant now, assignment_table next)
{
    pending_append_ = std::move(next);
    pending_append_->revision = table_.revision + 1;
    append_outcome_unknown_ = false;
    store_call_sent_ = now;
    effects_.emplace_back(append_table{.data = encode_table(*pending_append_), .at = end_});
}

void coordinator::on_append(instant now, append_outcome outcome)
{
    if (!pending_append_) {
        return;
    }
    if (outcome == append_outcome::appended) {
        end_.value += 1;
        append_pause_ = {};
        const bool own = pending_append_->coordinator == options_.self;
        auto next = std::move(*pending_append_);
        pending_append_.reset();
        adopt_table(std::move(next));
        last_read_ = std::max(last_read_, store_call_sent_);
        if (own && !coordinating_) {
            begin_term(now);
        }
        if (!own && hooks_.on_term_change) {
            hooks_.on_term_change("given up", table_);
        }
        return;
    }
    if (outcome == append_outcome::not_done) {
        pending_append_.reset();
        append_pause_ =
            std::clamp(append_pause_ * 2, options_.min_append_pause, options_.max_append_pause);
        next_append_ = now + append_pause_;
        // A term that the store did not take back is given up again with the next tick.
        const bool gives_up = stopping_ || standing_aside_;
        coordinating_ = coordinating_ || (gives_up && table_.coordinator == options_.self);
        return;
    }
    append_outcome_unknown_ = true;
    if (outcome == append_outcome::conflict) {
        pending_append_.reset();
        append_outcome_unknown_ = false;
        read_before_append_ = true;
    }
    read_pending_ = false;
    request_read(now);
}

// ---- term

void coordinator::on_coordinator_heartbeat(instant now, const assignment_table& table,
                                           duration read_age)
{
    if (table.term < table_.term || (coordinating_ && table.term == table_.term)) {
        return;
    }
    if (coordinating_) {
        lose_term("another host has a newer term");
    }
    if (!pending_append_ && table.revision >= table_.revision) {
        term_vacant_ = table.coordinator.value.empty();
        adopt_table(table);
    }
    // A coordinator that cannot read the store must stop soon, so it counts as silent.
    if (read_age < options_.max_heartbeat_read_age) {
        last_heartbeat_ = now;
    }
}

// Hosts try in order of rank, so that they do not compete after the loss of a coordinator.
duration coordinator::takeover_delay() const
{
    constexpr millis delay_per_rank{120};
    constexpr std::size_t max_delayed_ranks = 10;
    const auto wait = term_vacant_ ? duration{0} : duration{options_.takeover_timeout};
    return wait + delay_per_rank * std::min(takeover_rank_, max_delayed_ranks);
}

void coordinator::try_takeover(instant now)
{
    if (stopping_ || standing_aside_ || coordinating_ || !may_append(now) ||
        now - last_heartbeat_ < takeover_delay()) {
        takeover_pending_ = false;
        return;
    }
    auto next = table_;
    after_clean_stop_ = next.coordinator.value.empty();
    next.term += 1;
    next.coordinator = options_.self;
    // A server may have restarted since its entry was read: the new process must not be granted
    // keys under a fence that the old one had.
    for (auto& range : next.ranges) {
        if (known_released_.contains({range.fence, range.keys.first})) {
            range.previous_owner = {};
        }
        range.fence = ++next.last_fence;
    }
    takeover_pending_ = false;
    start_append(now, std::move(next));
}

void coordinator::stop(instant now)
{
    if (stopping_) {
        return;
    }
    stopping_ = true;
    give_up_term(now);
}

void coordinator::on_term_given_up(std::uint64_t term)
{
    term_vacant_ = term_vacant_ || (!coordinating_ && term >= table_.term);
}

void coordinator::give_up_term(instant now)
{
    if (!acting(now) || !may_append(now)) {
        return;
    }
    auto next = table_;
    clear_released_owners(next);
    next.coordinator = {};
    coordinating_ = false;
    start_append(now, std::move(next));
}

// ---- servers

void coordinator::set_servers(instant now, const backend_servers& servers,
                              std::set<service_id> keyed)
{
    if (servers_.size() != servers.size()) {
        server_count_changed_at_ = now;
    }
    servers_ = servers;
    keyed_services_ = std::move(keyed);
}

backend_servers coordinator::ready_servers() const
{
    backend_servers out;
    for (const auto& [id, server] : servers_) {
        if (!server.draining && keyed_services_.contains(server.service)) {
            out.emplace(id, server);
        }
    }
    return out;
}

std::vector<server_utilization> coordinator::server_utilizations(const service_id& service) const
{
    const auto ready = ready_servers();
    return estimate_utilizations({.table = table_,
                                  .ready = ready,
                                  .load = load_,
                                  .services = keyed_services_,
                                  .rate_limits = rate_limits_},
                                 options_.balance, service);
}

instant coordinator::latest_grant_end(const key_holder& holder) const
{
    auto end = inherited_grants_end_;
    if (const auto found = latest_grant_ends_.find(holder); found != latest_grant_ends_.end()) {
        end = std::max(end, found->second);
    }
    for (const auto& [number, call] : calls_) {
        if (call.holder == holder) {
            end = std::max(end, call.latest_grant_end);
        }
    }
    return end;
}

// ---- grants and releases

void coordinator::tick(instant now)
{
    started_ = started_.value_or(now);
    load_.decay(now);
    const bool due = now - store_call_sent_ >= options_.read_interval;
    if (coordinating_) {
        if (due && (!pending_append_ || append_outcome_unknown_)) {
            request_read(now);
        }
        if (!acting(now)) {
            return;
        }
        if (stopping_ || standing_aside_) {
            give_up_term(now);
        }
        update_table(now);
        if (pending_append_ && !coordinating_) {
            return;
        }
        advance_ranges(now);
        return;
    }
    const bool just_started = now - *started_ < options_.takeover_start_delay;
    // A host reads the table only when it is its turn to take the term.
    const bool silent = now - last_heartbeat_ >= takeover_delay();
    if (!stopping_ && !just_started && !standing_aside_ && silent && due && !takeover_pending_ &&
        (!pending_append_ || append_outcome_unknown_)) {
        takeover_pending_ = table_known_ || table_.term == 0;
        request_read(now);
    }
}

void coordinator::note_released(const assigned_range& range)
{
    known_released_.insert({range.fence, range.keys.first});
}

// A server that accepted the release refuses older fences from then on. A rejection confirms the
// end of the holder only if a server of another service, which knows no keys, now has its address.
// A restart of the holder confirms nothing: a grant may have reached the new process since.
bool coordinator::confirms_release(const assigned_range& range, call_outcome outcome) const
{
    if (outcome == call_outcome::accepted) {
        return true;
    }
    const bool other_service =
        std::any_of(servers_.begin(), servers_.end(), [&](const auto& entry) {
            return entry.second.address == range.previous_owner.address &&
                   entry.second.service != range.service;
        });
    return outcome == call_outcome::rejected && other_service;
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
    if (state.call_pending || state.needs_new_fence || now < state.next_call) {
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
            hooks_.on_released(range, false);
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
                     .timeout = options_.release_timeout});
}

void coordinator::grant_range(instant now, const assigned_range& range, range_state& state)
{
    const auto server = servers_.find(range.owner.id);
    if (server == servers_.end() || server->second.start != range.owner.start) {
        return;
    }
    const bool degraded = now - last_read_ > options_.degraded_after;
    const auto valid_for = degraded ? options_.degraded_grant_validity : options_.grant_validity;
    const call_number number{next_call_number_++};
    state.call_pending = true;
    calls_[number] = {.service = range.service,
                      .range = {range.fence, range.keys.first},
                      .holder = range.owner,
                      .granted_until = now + valid_for,
                      .latest_grant_end =
                          now + options_.grant_timeout + with_clock_drift(valid_for),
                      .is_grant = true};
    effects_.emplace_back(grant_keys{.number = number,
                                     .holder = range.owner,
                                     .keys = range.keys,
                                     .fence = range.fence,
                                     .valid_for = valid_for,
                                     .handoff = state.handoff,
                                     .timeout = options_.grant_timeout,
                                     .newest_connection = state.connection});
}

void coordinator::on_call(instant now, call_number number, call_outcome outcome,
                          std::string handoff, connection_number connection)
{
    const auto call = calls_.find(number);
    if (call == calls_.end()) {
        return;
    }
    const auto pending = call->second;
    calls_.erase(call);
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

void coordinator::on_grant(instant now, const assigned_range& range, const pending_call& call,
                           call_outcome outcome, connection_number connection)
{
    auto& state = state_of(range);
    if (outcome == call_outcome::accepted) {
        const bool held_before = now < state.granted_until;
        state.granted_until = call.granted_until;
        state.maybe_granted = true;
        state.connection = connection;
        state.next_call = now + options_.renew_interval;
        if (!held_before && hooks_.on_held) {
            hooks_.on_held(range);
        }
    } else if (state.maybe_granted && outcome == call_outcome::not_sent) {
        // The connection to the process that had the grant is closed. The process now at the
        // address may be a restarted one, whose entry appears in the store later.
        state.needs_new_fence = true;
    } else if (outcome == call_outcome::unknown) {
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
    if (!confirms_release(range, outcome)) {
        return;
    }
    auto& state = state_of(range);
    state.released = true;
    state.handoff = std::move(handoff);
    state.next_call = now;
    if (hooks_.on_released) {
        hooks_.on_released(range, !state.handoff.empty());
    }
    advance_range(now, range);
}

// ---- table updates

void coordinator::update_table(instant now)
{
    if (!may_append(now) || stopping_ || standing_aside_) {
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
        return state != nullptr &&
               (state->needs_new_fence || (state->released && !range.previous_owner.empty()));
    });
}

bool coordinator::assign_new_fences(assignment_table& next)
{
    bool changed = false;
    for (auto& range : next.ranges) {
        const auto* state = find_state(range);
        if (state == nullptr || !state->needs_new_fence) {
            continue;
        }
        // Only one process listens at the owner's address. Whichever it is, it may be granted the
        // keys under a new fence, and then refuses calls in flight under the old one.
        range.fence = ++next.last_fence;
        changed = true;
    }
    return changed;
}

// Merges adjacent ranges of one owner, as each range costs a call per renewal. The server has the
// keys already, so a new fence is enough.
void coordinator::merge_adjacent_ranges(assignment_table& next)
{
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
    const auto moves = plan_moves({.table = next,
                                   .ready = ready,
                                   .load = load_,
                                   .services = keyed_services_,
                                   .rate_limits = rate_limits_},
                                  options_.balance);
    for (const auto& move : moves) {
        apply_move(next, move);
    }
    return !moves.empty();
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
