#include "quincewing/assignment/coordinator.hpp"

#include <algorithm>

/// coordinator: who coordinates.
namespace quincewing {

void coordinator::on_coordinator_heartbeat(instant now, const assignment_table& table,
                                           duration read_age)
{
    const bool same_term = table.era == table_.era && table.term == table_.term;
    if (!of_current_era(table) || (older(table, table_) && !same_term) ||
        (coordinating_ && same_term)) {
        return;
    }
    if (coordinating_) {
        lose_term("another host has a newer term");
    }
    if (!pending_append_ && !older(table, table_)) {
        term_vacant_ = table.coordinator.value.empty();
        table_lost_ = false;
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

bool coordinator::next_to_coordinate(instant now) const
{
    const bool just_started = !started_ || now - *started_ < options_.takeover_start_delay;
    return !stopping_ && !coordinating_ && !just_started &&
           now - last_heartbeat_ >= takeover_delay();
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
    next.last_fence = std::max(next.last_fence, first_fence());
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
    coordinating_ = false;
    given_up_term_ = table_.term;
    append_vacancy(now);
}

// An append without an answer may still arrive. So a term that was given up is not resumed when the
// store still names this host: who finds it vacant later takes it at once.
bool coordinator::given_up(const assignment_table& stored) const
{
    return stored.coordinator == options_.self && stored.term == given_up_term_;
}

void coordinator::append_vacancy(instant now)
{
    auto next = table_;
    clear_released_owners(next);
    next.coordinator = {};
    next.given_up_early = now <= inherited_grants_end_;
    start_append(now, std::move(next));
}

} // namespace quincewing
