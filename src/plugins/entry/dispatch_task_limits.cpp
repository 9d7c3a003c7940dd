#include "dispatch_task.hpp"

#include <algorithm>

/// dispatch_task: the servers' own limits, and the quotas that hosts lease to each other's
/// dispatchers.
namespace quincewing {

namespace {

// Quotas of a group's limits are borrowed for this long after the last request for a slot there.
constexpr seconds quota_use_time{3};
// The quotas of a further group are not left to wait for the next renewal: the usual interval is
// divided by this.
constexpr int new_group_divisor = 4;

} // namespace

// Which dispatcher the other hosts ask is decided by each of them, so this host's view of it gives
// no right to their quotas. Those of earlier builds lease none: their quotas count for the
// dispatcher that by its own view all hosts ask, as they do there.
double dispatch_task::quota_share_of(instant now, const group_id& id, bool fallback)
{
    const bool chosen = dispatcher_host_of(id) == context_.self;
    return quota_share({.known_hosts = host_count(),
                        .own = lender_.may_use(now, id),
                        .borrowed = borrower_.count(now, id) + (chosen ? older_hosts_ : 0),
                        .fallback = fallback});
}

void dispatch_task::apply_limits(instant now, const group_id& id, bool fallback, dispatcher& to)
{
    std::map<server_id, request_rate> limits;
    for (const auto& server : servers_of(id)) {
        if (const auto limit = context_.view.rate_limit(now, server)) {
            limits[server.id] = *limit;
        }
    }
    if (limits.empty() && !to.limited()) {
        return;
    }
    const auto share = quota_share_of(now, id, fallback);
    for (auto& [server, limit] : limits) {
        limit.value *= share;
    }
    to.set_rate_limits(now, limits);
}

void dispatch_task::apply_all_limits(instant now)
{
    for (auto* all : {&dispatchers_, &fallback_dispatchers_}) {
        for (auto& [id, it] : *all) {
            if (it.limited()) {
                apply_limits(now, id, all == &fallback_dispatchers_, it);
            }
        }
    }
}

std::set<dispatch_task::group_id> dispatch_task::groups_in_need_of_quotas(instant now)
{
    std::erase_if(limited_requested_at_,
                  [now](const auto& it) { return now - it.second > quota_use_time; });
    std::set<group_id> out;
    for (const auto& [id, at] : limited_requested_at_) {
        const auto found = dispatchers_.find(id);
        if (found != dispatchers_.end() && found->second.limited() &&
            !leaving_.contains(context_.self)) {
            out.insert(id);
        }
    }
    return out;
}

// Quotas of groups that are left out are given up before the others hear of it.
void dispatch_task::request_quotas(instant now)
{
    const auto groups = groups_in_need_of_quotas(now);
    const auto& before = borrower_.requested();
    const bool more = !std::includes(before.begin(), before.end(), groups.begin(), groups.end());
    const auto interval = quota_renew_interval(host_count());
    const auto pause = more ? interval / new_group_divisor : interval;
    const bool any = !groups.empty() || !before.empty();
    if (!any || now - last_quota_request_ < pause) {
        return;
    }
    last_quota_request_ = now;
    const auto time = quota_lease_time(host_count());
    const auto number = borrower_.on_request(now, groups, time);
    apply_all_limits(now);
    peers_.send_to_all(quota_request{.number = number,
                                     .duration = static_cast<std::uint64_t>(time.count()),
                                     .groups = {groups.begin(), groups.end()}},
                       quota_spoken_version);
}

void dispatch_task::on_message(const host_id& from, const quota_request& it)
{
    const auto leased = lender_.on_request(
        monotonic_now(), from, it.number, it.groups,
        duration{static_cast<duration::rep>(std::min<std::uint64_t>(it.duration, INT64_MAX))},
        [&](const group_id& group) { return dispatcher_host_of(group) == from; });
    if (!it.groups.empty()) {
        peers_.send(from, quota_reply{.number = it.number, .leased = leased});
    }
}

void dispatch_task::on_message(const host_id& from, const quota_reply& it)
{
    borrower_.on_reply(from, it.number, it.leased);
}

} // namespace quincewing
