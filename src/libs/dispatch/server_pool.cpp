#include "quincewing/dispatch/server_pool.hpp"

#include <algorithm>
#include <cmath>

namespace quincewing {

namespace {

constexpr double us_per_s = 1e6;

auto lower_bound_of(std::vector<pooled_server>& servers, const server_id& id)
{
    return std::lower_bound(
        servers.begin(), servers.end(), id,
        [](const pooled_server& it, const server_id& wanted) { return it.server.id < wanted; });
}

} // namespace

void server_pool::set_servers(const std::vector<backend_server>& servers)
{
    for (auto& it : servers_) {
        it.listed = false;
    }
    for (const auto& server : servers) {
        const auto at = lower_bound_of(servers_, server.id);
        const bool known = at != servers_.end() && at->server.id == server.id;
        if (known && at->server.start == server.start) {
            at->server = server;
            at->listed = true;
            continue;
        }
        pooled_server added{.server = server, .estimate = server_estimate{options_.estimate}};
        if (known) {
            *at = std::move(added);
        } else {
            servers_.insert(at, std::move(added));
        }
    }
    std::erase_if(servers_, [](const auto& it) { return !it.listed && it.slots_in_use == 0; });
}

void server_pool::set_rate_limits(instant now, const std::map<server_id, request_rate>& limits)
{
    for (auto& it : servers_) {
        const auto found = limits.find(it.server.id);
        if (found == limits.end()) {
            it.bucket.reset();
            continue;
        }
        if (!it.bucket) {
            it.bucket.emplace(now);
        }
        it.bucket->set_rate(now, found->second);
    }
}

bool server_pool::limited() const
{
    return std::any_of(servers_.begin(), servers_.end(),
                       [](const auto& it) { return it.bucket.has_value(); });
}

pooled_server* server_pool::find(const server_id& id)
{
    const auto at = lower_bound_of(servers_, id);
    return at != servers_.end() && at->server.id == id ? &*at : nullptr;
}

void server_pool::release_slot(const server_id& id)
{
    const auto at = lower_bound_of(servers_, id);
    if (at == servers_.end() || at->server.id != id) {
        return;
    }
    at->slots_in_use -= at->slots_in_use > 0 ? 1 : 0;
    if (!at->listed && at->slots_in_use == 0) {
        servers_.erase(at);
    }
}

std::vector<pooled_server*> server_pool::with_free_slots(instant now, slot_kind kind)
{
    std::vector<pooled_server*> out;
    for (auto& it : servers_) {
        if (free_slots(now, it, kind) > 0) {
            out.push_back(&it);
        }
    }
    return out;
}

std::uint32_t server_pool::slot_limit(instant now, const pooled_server& it) const
{
    if (!it.listed || it.estimate.backing_off(now)) {
        return 0;
    }
    if (it.estimate.probing()) {
        return 1;
    }
    return usable_slots(now, it);
}

std::uint32_t server_pool::usable_slots(instant now, const pooled_server& it) const
{
    const auto slots = std::max(1.0, std::round(it.server.slots * options_.slots_share));
    const auto total = static_cast<std::uint32_t>(slots);
    const auto others = it.estimate.slots_used_by_others(now);
    return std::max<std::uint32_t>(total > others ? total - others : 0, 1);
}

std::uint32_t server_pool::free_slots(instant now, const pooled_server& it, slot_kind kind) const
{
    auto limit = slot_limit(now, it);
    // None for a server that limits its rate, backs off or is probed, or whose slots are partly
    // used by others.
    if (kind == slot_kind::extra && limit >= it.server.slots && !it.bucket) {
        limit += options_.extra_grants_per_slot * it.server.slots;
    }
    if (limit <= it.slots_in_use) {
        return 0;
    }
    const bool held_back = it.bucket && it.bucket->wait(now) > duration{0};
    return held_back ? 0 : limit - it.slots_in_use;
}

double server_pool::completions_per_us(const pooled_server& it, duration processing_time,
                                       std::uint32_t slots)
{
    const auto by_slots = slots / static_cast<double>(processing_time.count() + 1);
    return it.bucket ? std::min(by_slots, it.bucket->rate().value / us_per_s) : by_slots;
}

bool server_pool::eligible(const pooled_server& it, const dispatch_request& request)
{
    if (!it.listed) {
        return false;
    }
    if (!request.required_server.value.empty()) {
        return it.server.id == request.required_server;
    }
    return std::find(request.excluded_servers.begin(), request.excluded_servers.end(),
                     it.server.id) == request.excluded_servers.end();
}

bool server_pool::any_eligible(const dispatch_request& request) const
{
    return std::any_of(servers_.begin(), servers_.end(),
                       [&](const auto& it) { return eligible(it, request); });
}

pool_capacity server_pool::capacity_for(instant now, const dispatch_request& request) const
{
    return capacity_if(now, [&](const pooled_server& it) { return eligible(it, request); });
}

pool_capacity server_pool::capacity_in(instant now, const dispatch_request& request,
                                       const data_centre_id& data_centre) const
{
    return capacity_if(now, [&](const pooled_server& it) {
        return it.server.data_centre == data_centre && eligible(it, request);
    });
}

pool_capacity
server_pool::capacity_if(instant now, const std::function<bool(const pooled_server&)>& wanted) const
{
    pool_capacity out{.backoff_left = options_.estimate.max_backoff, .all_limited = true};
    duration time{0};
    duration deviation{0};
    std::optional<duration> first_token;
    for (const auto& it : servers_) {
        if (!wanted(it)) {
            continue;
        }
        ++out.servers;
        // Mean instead of present speed: a short slowdown ends before a queue is worked off.
        const auto own_time = it.estimate.mean_processing_time();
        time += own_time;
        deviation += it.estimate.deviation();
        out.backoff_left = std::min(out.backoff_left, it.estimate.backoff_until() - now);
        if (!it.estimate.backing_off(now)) {
            out.ready = true;
            out.per_us += completions_per_us(it, own_time, slot_limit(now, it));
            out.possible_per_us += completions_per_us(it, own_time, usable_slots(now, it));
        }
        if (!it.bucket) {
            out.all_limited = false;
            continue;
        }
        const auto wait = it.bucket->wait(now);
        first_token = first_token ? std::min(*first_token, wait) : wait;
        out.limited_rate.value += it.bucket->rate().value;
    }
    if (out.servers == 0) {
        out.processing_time = options_.estimate.initial_processing_time;
        out.all_limited = false;
        return out;
    }
    const auto n = static_cast<duration::rep>(out.servers);
    out.processing_time = time / n;
    out.deviation = deviation / n;
    out.first_token = first_token.value_or(duration{0});
    return out;
}

duration server_pool::processing_time() const
{
    duration sum{0};
    duration::rep n = 0;
    for (const auto& it : servers_) {
        if (it.listed) {
            sum += it.estimate.mean_processing_time();
            ++n;
        }
    }
    return n == 0 ? options_.estimate.initial_processing_time : sum / n;
}

} // namespace quincewing
