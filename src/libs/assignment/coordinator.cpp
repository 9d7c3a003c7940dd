#include "quincewing/assignment/coordinator.hpp"

#include <algorithm>
#include <tuple>

namespace quincewing {

coordinator::coordinator(coordinator_options options, coordinator_hooks hooks)
    : options_(std::move(options)), hooks_(std::move(hooks))
{
}

bool coordinator::acting(instant now) const
{
    const bool current = !options_.bound_by_reads || now - last_read_ < options_.read_validity;
    return coordinating_ && current;
}

// A grant counts from its arrival, on a clock that may run slow.
duration coordinator::stretched(duration hold) const
{
    return hold + std::chrono::duration_cast<duration>(hold * options_.clock_drift * 1.05);
}

// ---- the store's table

void coordinator::read_now(instant now)
{
    if (reading_) {
        return;
    }
    reading_ = true;
    read_sent_ = now;
    effects_.emplace_back(read_table{});
}

void coordinator::on_table_unreadable(instant)
{
    reading_ = false;
}

void coordinator::on_table_read(instant sent, instant now, std::optional<assignment_table> table,
                                log_offset end)
{
    reading_ = false;
    if (append_ && !append_unknown_) {
        return;
    }
    // An answer that was overtaken by the own append: what is known is newer.
    if (table_known_ && end < end_) {
        return;
    }
    // An append whose answer was lost is settled by what the stream holds. If it is not there it
    // may still come, and then fails the next append from this offset.
    append_.reset();
    append_unknown_ = false;
    end_ = end;
    table_known_ = true;
    const auto found = table ? std::move(*table) : assignment_table{};
    const bool own = found.coordinator == options_.self && found.term > 0;
    if (found.term > table_.term) {
        sign_ = now;
    }
    vacant_ = found.coordinator.value.empty();
    adopt(found);
    if (own && !coordinating_) {
        begin_term(now);
    } else if (!own && coordinating_) {
        lose_term("another host holds the term");
    }
    if (own) {
        last_read_ = std::max(last_read_, sent);
        return;
    }
    if (term_wanted_) {
        try_to_take_term(now);
    }
}

void coordinator::adopt(assignment_table table)
{
    carry_over(table);
    table_ = std::move(table);
    std::set<std::pair<std::uint64_t, key_number>> present;
    for (const auto& it : table_.ranges) {
        present.insert({it.fence, it.keys.first});
    }
    std::erase_if(states_, [&](const auto& it) { return !present.contains(it.first); });
    std::erase_if(known_proved_, [&](const auto& it) { return !present.contains(it); });
}

// A range that was cut, joined or given a new fence stays in force at its owner: the grants of the
// ranges that it is made of have not ended.
void coordinator::carry_over(const assignment_table& next)
{
    for (const auto& it : next.ranges) {
        if (!it.previous_owner.empty() || find_state(it) != nullptr) {
            continue;
        }
        std::uint32_t covered = 0;
        range_state merged{.proved = true, .held_until = instant::max()};
        for (const auto& old : table_.ranges) {
            const auto* state = find_state(old);
            const bool apart = old.service != it.service || old.keys.last < it.keys.first ||
                               it.keys.last < old.keys.first;
            if (apart || old.owner != it.owner || state == nullptr) {
                continue;
            }
            const key_range common{std::max(old.keys.first, it.keys.first),
                                   std::min(old.keys.last, it.keys.last)};
            covered += common.size();
            merged.held_until = std::min(merged.held_until, state->held_until);
            if (old.fence == it.fence && state->sent) {
                merged.sent = true;
                merged.connection = state->connection;
            }
        }
        if (covered == it.keys.size()) {
            states_[{it.fence, it.keys.first}] = merged;
        }
    }
}

void coordinator::begin_term(instant now)
{
    coordinating_ = true;
    term_wanted_ = false;
    states_.clear();
    hold_ends_.clear();
    calls_.clear();
    // The coordinator before acts for as long as its last read allows, and its last grants then
    // last their time.
    const bool wait = options_.wait_after_new_term && !after_clean_stop_;
    const auto others_act = wait ? options_.read_validity : duration{0};
    inherited_hold_end_ =
        now + others_act + options_.grant_timeout + stretched(options_.max_grant_validity);
    servers_since_ = now;
    if (hooks_.on_term_change) {
        hooks_.on_term_change("taken", table_);
    }
}

void coordinator::lose_term(const char* why)
{
    coordinating_ = false;
    states_.clear();
    calls_.clear();
    append_.reset();
    append_unknown_ = false;
    if (hooks_.on_term_change) {
        hooks_.on_term_change(why, table_);
    }
}

void coordinator::start_append(instant now, assignment_table next)
{
    append_ = std::move(next);
    append_->revision = table_.revision + 1;
    append_unknown_ = false;
    read_sent_ = now;
    effects_.emplace_back(append_table{.data = encode_table(*append_), .at = end_});
}

void coordinator::on_append(instant now, append_outcome outcome)
{
    if (!append_) {
        return;
    }
    if (outcome == append_outcome::appended) {
        end_.value += 1;
        const bool mine = append_->coordinator == options_.self;
        auto next = std::move(*append_);
        append_.reset();
        adopt(std::move(next));
        last_read_ = std::max(last_read_, read_sent_);
        if (mine && !coordinating_) {
            begin_term(now);
        }
        if (!mine && hooks_.on_term_change) {
            hooks_.on_term_change("given up in order", table_);
        }
        return;
    }
    if (outcome == append_outcome::not_done) {
        append_.reset();
        return;
    }
    append_unknown_ = true;
    if (outcome == append_outcome::conflict) {
        append_.reset();
        append_unknown_ = false;
    }
    reading_ = false;
    read_now(now);
}

// ---- whose term it is

void coordinator::on_coordinator_heartbeat(instant now, const assignment_table& table,
                                           duration read_age)
{
    if (table.term < table_.term || (coordinating_ && table.term == table_.term)) {
        return;
    }
    if (coordinating_) {
        lose_term("another host's term was heard of");
    }
    if (!append_ && table.revision >= table_.revision) {
        vacant_ = table.coordinator.value.empty();
        adopt(table);
    }
    // One that cannot read the store any more will have to stop: it is silent for this purpose.
    if (read_age < options_.sign_validity) {
        sign_ = now;
    }
}

// Hosts try one after the other, so that a lost coordinator is not followed by a race.
void coordinator::try_to_take_term(instant now)
{
    constexpr millis step{120};
    const auto wait = vacant_ ? duration{0} : duration{options_.patience};
    const auto turn = wait + step * std::min<std::size_t>(rank_, 10);
    if (stopping_ || coordinating_ || append_ || now - sign_ < turn) {
        term_wanted_ = false;
        return;
    }
    auto next = table_;
    after_clean_stop_ = next.coordinator.value.empty();
    next.term += 1;
    next.coordinator = options_.self;
    // A server may have started anew since the entries were read: a new start must not be granted
    // keys under a fence that the one before had.
    for (auto& it : next.ranges) {
        if (known_proved_.contains({it.fence, it.keys.first})) {
            it.previous_owner = {};
        }
        it.fence = ++next.last_fence;
    }
    term_wanted_ = false;
    start_append(now, std::move(next));
}

void coordinator::stop(instant now)
{
    if (stopping_) {
        return;
    }
    stopping_ = true;
    if (acting(now) && !append_) {
        auto next = table_;
        settle(next);
        next.coordinator = {};
        coordinating_ = false;
        start_append(now, std::move(next));
    }
}

// ---- servers

void coordinator::set_servers(instant now, const backend_servers& servers,
                              std::set<service_id> keyed)
{
    if (servers_.size() != servers.size()) {
        servers_since_ = now;
    }
    servers_ = servers;
    keyed_ = std::move(keyed);
}

backend_servers coordinator::ready_servers() const
{
    backend_servers out;
    for (const auto& [id, it] : servers_) {
        if (!it.draining && keyed_.contains(it.service)) {
            out.emplace(id, it);
        }
    }
    return out;
}

std::vector<server_utilization> coordinator::server_utilizations(const service_id& service) const
{
    const auto ready = ready_servers();
    return estimate_utilizations(
        {.table = table_, .ready = ready, .load = load_, .services = keyed_}, options_.balance,
        service);
}

instant coordinator::hold_end(const key_holder& holder) const
{
    auto end = inherited_hold_end_;
    if (const auto found = hold_ends_.find(holder); found != hold_ends_.end()) {
        end = std::max(end, found->second);
    }
    for (const auto& [number, call] : calls_) {
        if (call.holder == holder) {
            end = std::max(end, call.last_effect);
        }
    }
    return end;
}

// ---- acting

void coordinator::tick(instant now)
{
    load_.decay(now);
    const bool due = now - read_sent_ >= options_.read_every;
    if (coordinating_) {
        if (due && (!append_ || append_unknown_)) {
            read_now(now);
        }
        if (!acting(now)) {
            return;
        }
        change_table(now);
        if (append_ && !coordinating_) {
            return;
        }
        for (const auto& it : table_.ranges) {
            drive_range(now, it);
        }
        return;
    }
    const bool silent = now - sign_ > options_.patience || vacant_ || !table_known_;
    if (!stopping_ && silent && due && !term_wanted_ && (!append_ || append_unknown_)) {
        term_wanted_ = table_known_ || table_.term == 0;
        read_now(now);
    }
}

void coordinator::note_released(const assigned_range& range)
{
    known_proved_.insert({range.fence, range.keys.first});
}

// Whoever took the release refuses older fences from now on. A process that knows nothing of keys
// answers at the address of a server of another service: then the holder has ended. That the
// holder started anew proves nothing by itself: a grant may have reached the new start since.
bool coordinator::proves_end(const assigned_range& range, call_outcome outcome) const
{
    if (outcome == call_outcome::accepted) {
        return true;
    }
    const bool other_service = std::any_of(servers_.begin(), servers_.end(), [&](const auto& it) {
        return it.second.address == range.previous_owner.address &&
               it.second.service != range.service;
    });
    return outcome == call_outcome::rejected && other_service;
}

coordinator::range_state& coordinator::state_of(const assigned_range& it)
{
    const auto [found, fresh] = states_.try_emplace({it.fence, it.keys.first});
    if (fresh) {
        found->second.proved =
            it.previous_owner.empty() || known_proved_.contains({it.fence, it.keys.first});
    }
    return found->second;
}

const coordinator::range_state* coordinator::find_state(const assigned_range& it) const
{
    const auto found = states_.find({it.fence, it.keys.first});
    return found == states_.end() ? nullptr : &found->second;
}

bool coordinator::held(instant now, const assigned_range& range) const
{
    const auto* state = find_state(range);
    return state != nullptr && now < state->held_until;
}

void coordinator::drive_range(instant now, const assigned_range& it)
{
    auto& state = state_of(it);
    if (state.busy || state.needs_fence || now < state.next_call) {
        return;
    }
    if (!state.proved) {
        prove(now, it, state);
    }
    if (state.proved && !state.busy) {
        grant(now, it, state);
    }
}

// The release carries the new fence: from then on the holder refuses every grant under an older
// one, also one that is still on its way. Silence proves nothing until the last possible grant
// has run out.
void coordinator::prove(instant now, const assigned_range& it, range_state& state)
{
    const bool lapsed = now > hold_end(it.previous_owner);
    if (lapsed) {
        state.proved = true;
        if (hooks_.on_released) {
            hooks_.on_released(it, false);
        }
        return;
    }
    state.busy = true;
    const call_number number{next_call_++};
    calls_[number] = {.range = {it.fence, it.keys.first}};
    effects_.emplace_back(
        release_keys{.number = number,
                     .holder = it.previous_owner,
                     .keys = it.keys,
                     .fence = options_.release_with_new_fence ? it.fence : it.fence - 1,
                     .timeout = options_.release_timeout});
}

void coordinator::grant(instant now, const assigned_range& it, range_state& state)
{
    const auto server = servers_.find(it.owner.id);
    if (server == servers_.end() || server->second.start != it.owner.start) {
        return;
    }
    const bool doubt = now - last_read_ > options_.doubt_after;
    const auto hold = doubt ? options_.degraded_grant_validity : options_.grant_validity;
    const call_number number{next_call_++};
    state.busy = true;
    calls_[number] = {.range = {it.fence, it.keys.first},
                      .holder = it.owner,
                      .held_until = now + hold,
                      .last_effect = now + options_.grant_timeout + stretched(hold),
                      .grant = true};
    effects_.emplace_back(grant_keys{.number = number,
                                     .holder = it.owner,
                                     .keys = it.keys,
                                     .fence = it.fence,
                                     .valid_for = hold,
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
    if (pending.grant && outcome != call_outcome::not_sent) {
        auto& end = hold_ends_[pending.holder];
        end = std::max(end, pending.last_effect);
    }
    const auto found = states_.find(pending.range);
    if (found == states_.end()) {
        return;
    }
    auto& state = found->second;
    const auto range =
        std::find_if(table_.ranges.begin(), table_.ranges.end(), [&](const auto& it) {
            return it.fence == pending.range.first && it.keys.first == pending.range.second;
        });
    state.busy = false;
    state.next_call = now + options_.call_again;
    if (outcome == call_outcome::accepted && pending.grant) {
        state.held_until = pending.held_until;
        state.sent = true;
        state.connection = connection;
        state.next_call = now + options_.renew_every;
    } else if (!pending.grant && proves_end(*range, outcome)) {
        state.proved = true;
        state.handoff = std::move(handoff);
        state.next_call = now;
        if (hooks_.on_released) {
            hooks_.on_released(*range, !state.handoff.empty());
        }
        drive_range(now, *range);
    } else if (pending.grant && state.sent && outcome == call_outcome::not_sent) {
        // The connection to the process that had the grant is gone. Whoever answers at the address
        // may be another start, which the store shows later.
        state.needs_fence = true;
    } else if (pending.grant && outcome == call_outcome::unknown) {
        state.sent = true;
        state.needs_fence = true;
    } else if (outcome == call_outcome::fenced && pending.grant) {
        state.needs_fence = true;
        if (hooks_.on_grant_fenced) {
            hooks_.on_grant_fenced(*range);
        }
    }
}

// ---- changing the table

void coordinator::change_table(instant now)
{
    if (append_ || stopping_) {
        return;
    }
    auto next = table_;
    const bool settled = settle(next);
    const bool refenced = refence(next);
    const bool moved = apply_moves(now, next);
    if (!settled) {
        unsettled_since_ = now;
    }
    // Settled moves alone wait a little, so that several go into one append.
    constexpr millis settle_delay{500};
    if (moved) {
        merge(next);
    }
    if (refenced || moved || (settled && now - unsettled_since_ > settle_delay)) {
        start_append(now, std::move(next));
    }
}

bool coordinator::refence(assignment_table& next)
{
    bool changed = false;
    for (auto& it : next.ranges) {
        const auto* state = find_state(it);
        if (state == nullptr || !state->needs_fence) {
            continue;
        }
        // Only one process is at the owner's address. Whoever it is, it may have the keys under
        // a fence that is new, and refuses what is still on its way under the old one.
        it.fence = ++next.last_fence;
        changed = true;
    }
    return changed;
}

// Neighbours that one server holds become one range: each range costs a call for every renewal.
// The server has the keys already, so that a new fence is all it takes.
void coordinator::merge(assignment_table& next)
{
    std::vector<assigned_range> out;
    for (const auto& it : next.ranges) {
        const bool joins = !out.empty() && out.back().service == it.service &&
                           out.back().owner == it.owner &&
                           std::uint32_t{out.back().keys.last} + 1 == it.keys.first &&
                           out.back().previous_owner.empty() && it.previous_owner.empty();
        if (!joins) {
            out.push_back(it);
            continue;
        }
        out.back().keys.last = it.keys.last;
        out.back().fence = ++next.last_fence;
    }
    next.ranges = std::move(out);
}

bool coordinator::settle(assignment_table& next) const
{
    bool changed = false;
    for (auto& it : next.ranges) {
        const auto* state = find_state(it);
        if (!it.previous_owner.empty() && state != nullptr && state->proved) {
            it.previous_owner = {};
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
    next_balance_ = now + options_.balance_every;
    const bool first = table_.ranges.empty();
    if (first && now - servers_since_ < options_.first_spread_wait) {
        return false;
    }
    const auto ready = ready_servers();
    const auto moves = plan_moves(
        {.table = next, .ready = ready, .load = load_, .services = keyed_}, options_.balance);
    for (const auto& it : moves) {
        apply_move(next, it);
    }
    std::sort(next.ranges.begin(), next.ranges.end(), [](const auto& a, const auto& b) {
        return std::tie(a.service, a.keys.first) < std::tie(b.service, b.keys.first);
    });
    return !moves.empty();
}

// Cuts the keys out of the ranges that hold them now. What is left keeps owner and fence.
void coordinator::apply_move(assignment_table& next, const planned_move& move) const
{
    const auto& server = servers_.at(move.to);
    std::vector<assigned_range> out;
    std::vector<assigned_range> taken;
    for (const auto& it : next.ranges) {
        const bool apart = it.service != move.service || it.keys.last < move.keys.first ||
                           move.keys.last < it.keys.first;
        if (apart) {
            out.push_back(it);
            continue;
        }
        if (it.keys.first < move.keys.first) {
            out.push_back(it);
            out.back().keys.last = static_cast<key_number>(move.keys.first - 1);
        }
        if (move.keys.last < it.keys.last) {
            out.push_back(it);
            out.back().keys.first = static_cast<key_number>(move.keys.last + 1);
        }
        taken.push_back(it);
        taken.back().keys = {std::max(it.keys.first, move.keys.first),
                             std::min(it.keys.last, move.keys.last)};
    }
    if (taken.empty()) {
        taken.push_back({.service = move.service, .keys = move.keys});
    }
    for (auto& it : taken) {
        it.previous_owner = it.owner;
        it.owner = {.id = server.id, .start = server.start, .address = server.address};
        it.fence = ++next.last_fence;
        if (hooks_.on_move_started) {
            hooks_.on_move_started(it);
        }
        out.push_back(it);
    }
    next.ranges = std::move(out);
}

} // namespace quincewing
