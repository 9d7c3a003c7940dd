#include "quincewing/dispatch/dispatcher.hpp"

#include <algorithm>
#include <cmath>

/// dispatcher: the choice of a server.
namespace quincewing {

namespace {

// Heads of request and answer, in bytes.
constexpr std::uint64_t request_overhead = 2048;

} // namespace

// Expected processing time, raised by the server's load and failure rate.
double dispatcher::cost(instant now, const pooled_server& state, duration usual) const
{
    auto time = state.estimate.processing_time(now);
    const bool unknown =
        state.slots_in_use == 0 && now - state.estimate.last_answer_at() > options_.estimate_memory;
    if (unknown) {
        time = std::min(time, usual);
    }
    const auto processing_time = static_cast<double>(time.count());
    const auto utilization =
        static_cast<double>(state.slots_in_use) / std::max(1U, state.server.slots);
    const auto success_rate = std::max(0.05, 1.0 - state.estimate.failure_rate());
    return processing_time * (1.0 + 0.25 * utilization) / (success_rate * success_rate);
}

pooled_server* dispatcher::choose_server(instant now, const waiting_request& waiting,
                                         const std::vector<pooled_server*>& free, duration usual)
{
    pooled_server* own = nullptr;
    pooled_server* other = nullptr;
    double own_cost = 0;
    double other_cost = 0;
    for (auto* it : free) {
        if (!server_pool::eligible(*it, waiting.request)) {
            continue;
        }
        if (it->bucket && now - it->last_grant_at >= options_.limited_server_interval) {
            return it;
        }
        const bool is_own = it->server.data_centre == waiting.request.data_centre;
        auto*& best = is_own ? own : other;
        auto& best_cost = is_own ? own_cost : other_cost;
        const auto it_costs = cost(now, *it, usual);
        if (best == nullptr || it_costs < best_cost) {
            best = it;
            best_cost = it_costs;
        }
    }
    if (own == nullptr && other == nullptr) {
        return nullptr;
    }
    const auto verdict = place(now, waiting, own, other, usual);
    auto* best = verdict == data_centre_verdict::stay    ? own
                 : verdict == data_centre_verdict::leave ? other
                                                         : nullptr;
    if (best == nullptr || better_elsewhere(now, waiting, *best, usual)) {
        return nullptr;
    }
    return connected_server(now, waiting, best, usual);
}

data_centre_verdict dispatcher::place(instant now, const waiting_request& waiting,
                                      const pooled_server* own, const pooled_server* other,
                                      duration usual) const
{
    const auto answer_of = [&](const pooled_server* it) {
        return it == nullptr ? std::nullopt
                             : std::optional{now + duration{std::llround(cost(now, *it, usual))}};
    };
    return choose_data_centre(options_.transfer,
                              {.own = answer_of(own),
                               .other = answer_of(other),
                               .own_after_wait = own_after_wait(now, waiting, own),
                               .due = waiting.answer_due,
                               .bytes = waiting.request.answer_bytes + request_overhead});
}

pooled_server* dispatcher::connected_server(instant now, const waiting_request& waiting,
                                            pooled_server* best, duration usual)
{
    if (options_.connection_cost <= duration{0}) {
        return best;
    }
    auto least = cost(now, *best, usual) + static_cast<double>(options_.connection_cost.count());
    for (const auto& id : connections_.servers_of(now, waiting.ticket.host)) {
        auto* it = pool_.find(id);
        const bool usable = it != nullptr && server_pool::eligible(*it, waiting.request) &&
                            it->server.data_centre == best->server.data_centre &&
                            pool_.free_slots(now, *it) > 0;
        if (usable && cost(now, *it, usual) < least) {
            best = it;
            least = cost(now, *it, usual);
        }
    }
    return best;
}

// While the service is not overloaded, the wait for a slot is about the time that one server needs,
// shared by all slots of the data centre.
std::optional<instant> dispatcher::own_after_wait(instant now, const waiting_request& waiting,
                                                  const pooled_server* own) const
{
    const auto bytes = waiting.request.answer_bytes + request_overhead;
    if (own != nullptr || overloaded_ || bytes < options_.transfer.large_bytes) {
        return std::nullopt;
    }
    const auto capacity = pool_.capacity_in(now, waiting.request, waiting.request.data_centre);
    if (capacity.per_us <= 0) {
        return std::nullopt;
    }
    const auto wait = duration{std::llround(static_cast<double>(queue_.size()) / capacity.per_us)};
    return now + wait + capacity.processing_time;
}

// A server that is disturbed for a moment would make the request late; the next slot that another
// server frees does not.
bool dispatcher::better_elsewhere(instant now, const waiting_request& waiting,
                                  const pooled_server& server, duration usual) const
{
    const auto here = server.estimate.processing_time(now);
    const bool slow = server.estimate.relative_slowness(now) >= options_.slow_server_factor;
    const bool late_here = now + here > waiting.answer_due;
    return slow && late_here && now + usual + usual / 2 <= waiting.answer_due;
}

} // namespace quincewing
