#include "quincewing/dispatch/waiting_queue.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace quincewing {

void waiting_queue::insert(waiting_request it)
{
    const place at{.flow = it.flow(), .position = {.due = it.answer_due, .arrival = ++arrivals_}};
    places_[it.ticket] = at;
    flows_[at.flow].insert({.position = at.position, .waiting = std::move(it)});
}

bool waiting_queue::erase(const dispatch_ticket& ticket)
{
    const auto found = places_.find(ticket);
    if (found == places_.end()) {
        return false;
    }
    const auto flow = flows_.find(found->second.flow);
    flow->second.erase(found->second.position);
    if (flow->second.empty()) {
        flows_.erase(flow);
    }
    places_.erase(found);
    return true;
}

void waiting_queue::erase_if(const std::function<bool(const waiting_request&)>& predicate)
{
    std::vector<dispatch_ticket> erased;
    for (const auto& [id, requests] : flows_) {
        for (const auto& it : requests) {
            if (predicate(it.waiting)) {
                erased.push_back(it.waiting.ticket);
            }
        }
    }
    for (const auto& ticket : erased) {
        erase(ticket);
    }
}

std::size_t waiting_queue::ahead_of(const waiting_request& it, const rank_function& rank_of,
                                    instant late_before) const
{
    const auto own = rank_of(it.flow(), it.answer_due < late_before);
    const auto found = places_.find(it.ticket);
    const auto own_position = found == places_.end()
                                  ? queue_position{.due = it.answer_due, .arrival = arrivals_ + 1}
                                  : found->second.position;
    std::size_t n = 0;
    for (const auto& [id, requests] : flows_) {
        const auto late = requests.lower_bound_rank(queue_position{.due = late_before});
        for (const bool is_late : {true, false}) {
            const auto first = is_late ? 0 : late;
            const auto end = is_late ? late : requests.size();
            const auto rank = rank_of(id, is_late);
            if (rank < own) {
                n += end - first;
            } else if (rank == own) {
                const auto before = requests.lower_bound_rank(own_position);
                n += std::clamp(before, first, end) - first;
            }
        }
    }
    return n;
}

queue_walk::queue_walk(const waiting_queue& queue, waiting_queue::rank_function rank_of,
                       instant late_before)
    : rank_of_(std::move(rank_of))
{
    for (const auto& [id, requests] : queue.flows_) {
        const auto late = requests.lower_bound_rank(queue_position{.due = late_before});
        if (late > 0) {
            segments_.push_back({.flow = id,
                                 .late = true,
                                 .rank = rank_of_(id, true),
                                 .next = requests.begin(),
                                 .remaining = late});
        }
        if (late < requests.size()) {
            segments_.push_back({.flow = id,
                                 .late = false,
                                 .rank = rank_of_(id, false),
                                 .next = requests.nth(late),
                                 .remaining = requests.size() - late});
        }
    }
}

const waiting_request* queue_walk::next()
{
    const auto best = std::min_element(
        segments_.begin(), segments_.end(), [](const segment& a, const segment& b) {
            return std::tie(a.rank, a.next->position) < std::tie(b.rank, b.next->position);
        });
    if (best == segments_.end()) {
        return nullptr;
    }
    const auto it = best->next++;
    if (--best->remaining == 0) {
        segments_.erase(best);
    }
    return &it->waiting;
}

void queue_walk::update_ranks()
{
    for (auto& it : segments_) {
        it.rank = rank_of_(it.flow, it.late);
    }
}

} // namespace quincewing
