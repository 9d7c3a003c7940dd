#include "quincewing/assignment/coordinator.hpp"

#include <algorithm>
#include <utility>

namespace quincewing {

coordinator::coordinator(coordinator_options options, coordinator_hooks hooks)
    : options_(std::move(options)), hooks_(std::move(hooks))
{
}

const char* to_string(release_proof it)
{
    switch (it) {
    case release_proof::handoff:
        return "handoff";
    case release_proof::other_service:
        return "other_service";
    case release_proof::expiry:
        return "expiry";
    }
    return "";
}

const char* to_string(call_outcome it)
{
    switch (it) {
    case call_outcome::accepted:
        return "accepted";
    case call_outcome::fenced:
        return "fenced";
    case call_outcome::rejected:
        return "rejected";
    case call_outcome::not_sent:
        return "not_sent";
    case call_outcome::unknown:
        return "unknown";
    case call_outcome::doubtful:
        return "doubtful";
    }
    return "";
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
    if (!of_current_era(stored)) {
        on_table_of_earlier_era(now, stored);
        return;
    }
    const bool own = stored.coordinator == options_.self && stored.term > 0 && !given_up(stored);
    if (older(table_, stored) && stored.term != table_.term) {
        last_heartbeat_ = now;
    }
    term_vacant_ = stored.coordinator.value.empty();
    const bool was_lost = std::exchange(table_lost_, false);
    adopt_table(stored);
    if (own && !coordinating_) {
        begin_term(now);
    } else if (own && was_lost) {
        on_term_resumed();
    } else if (!own && coordinating_) {
        lose_term("another host holds the term");
    }
    if (own) {
        last_read_ = std::max(last_read_, sent);
        return;
    }
    if (given_up(stored) && (stopping_ || standing_aside_) && may_append(now)) {
        append_vacancy(now);
        return;
    }
    if (takeover_pending_) {
        try_takeover(now);
    }
}

// A version is stored once, so the same one needs no second look.
void coordinator::adopt_table(assignment_table table)
{
    const bool same = table.term == table_.term && table.revision == table_.revision &&
                      table.era == table_.era && table.coordinator == table_.coordinator;
    if (same) {
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
        if (find_state(range) != nullptr) {
            continue;
        }
        if (!range.previous_owner.empty()) {
            if (all_proven(range.service, range.keys)) {
                state_of(range).proven = true;
            }
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
    merged.proven = all_proven(range.service, range.keys);
    return merged;
}

void coordinator::begin_term(instant now)
{
    coordinating_ = true;
    takeover_pending_ = false;
    given_up_term_ = 0;
    vacancy_may_arrive_ = false;
    range_states_.clear();
    latest_grant_ends_.clear();
    calls_.clear();
    identities_.clear();
    // The previous coordinator may act for as long as its last read allows, and its last grants are
    // valid for their full time after that.
    const bool clean_stop = after_clean_stop_ && !table_.unsettled && !table_.given_up_early;
    const bool wait = options_.wait_after_new_term && !clean_stop;
    const auto previous_acts = wait ? options_.read_validity : duration{0};
    inherited_grants_end_ = now + previous_acts + options_.grant_timeout +
                            with_clock_drift(options_.max_grant_validity);
    earlier_eras_end_ = instant::max();
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
    identities_.clear();
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
    pending_append_->era = era_;
    pending_append_->unsettled = pending_append_->unsettled || table_lost_;
    append_outcome_unknown_ = false;
    store_call_sent_ = now;
    last_append_number_.value += 1;
    effects_.emplace_back(append_table{
        .number = last_append_number_, .data = encode_table(*pending_append_), .at = end_});
}

void coordinator::on_append(instant now, append_number number, append_outcome outcome)
{
    if (!pending_append_ || number != last_append_number_) {
        return;
    }
    if (outcome == append_outcome::appended) {
        end_.value += 1;
        append_pause_ = {};
        const bool own = pending_append_->coordinator == options_.self;
        auto next = std::move(*pending_append_);
        pending_append_.reset();
        const bool was_lost = std::exchange(table_lost_, false);
        adopt_table(std::move(next));
        last_read_ = std::max(last_read_, store_call_sent_);
        if (own && !coordinating_) {
            begin_term(now);
        } else if (own && was_lost) {
            on_term_resumed();
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
        const bool gives_up = (stopping_ || standing_aside_) && !vacancy_may_arrive_;
        if (gives_up && table_.coordinator == options_.self) {
            coordinating_ = true;
            given_up_term_ = 0;
        }
        return;
    }
    append_outcome_unknown_ = true;
    vacancy_may_arrive_ =
        vacancy_may_arrive_ || (outcome == append_outcome::unknown && given_up_term_ != 0);
    if (outcome == append_outcome::conflict) {
        pending_append_.reset();
        append_outcome_unknown_ = false;
        read_before_append_ = true;
    }
    read_pending_ = false;
    request_read(now);
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
    known_keyed_services_.insert(keyed_services_.begin(), keyed_services_.end());
    std::set<std::string> addresses;
    shared_addresses_.clear();
    for (const auto& [id, server] : servers_) {
        if (!addresses.insert(server.address).second) {
            shared_addresses_.insert(server.address);
        }
    }
    std::erase_if(identities_, [this](const auto& it) { return !registered(it.first); });
}

backend_servers coordinator::ready_servers() const
{
    backend_servers out;
    // A server that gets no grants yet takes no keys from others.
    const auto blocked = [&](const backend_server& it) {
        return grants_may_go_astray() && shared_addresses_.contains(it.address) &&
               std::none_of(table_.ranges.begin(), table_.ranges.end(),
                            [&](const auto& range) { return range.owner.id == it.id; });
    };
    for (const auto& [id, server] : servers_) {
        if (!server.draining && keyed_services_.contains(server.service) && !blocked(server)) {
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

// ---- tick

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
    // A host reads the table only when it is its turn to take the term.
    if (!standing_aside_ && next_to_coordinate(now) && due && !takeover_pending_ &&
        (!pending_append_ || append_outcome_unknown_)) {
        takeover_pending_ = table_known_ || table_.term == 0;
        request_read(now);
    }
}

} // namespace quincewing
