#include "quincewing/dispatch/quota_leases.hpp"

#include <algorithm>

namespace quincewing {

namespace {

constexpr millis least_renew_interval{250};
constexpr millis longest_renew_interval{1200};
// Bounds the requests that a dispatcher sends in a second, whatever the number of hosts.
constexpr millis renew_interval_per_host{4};
constexpr seconds longest_lease_time{3};
// No message between hosts is under way for this long.
constexpr seconds longest_message_delay{60};

} // namespace

duration quota_renew_interval(std::size_t hosts)
{
    return std::clamp<duration>(renew_interval_per_host * static_cast<int>(hosts),
                                least_renew_interval, longest_renew_interval);
}

// One request or reply may be lost or late.
duration quota_lease_time(std::size_t hosts)
{
    return quota_renew_interval(hosts) * 5 / 2;
}

// ---- quota_lender

quota_lender::quota_lender(instant started) : started_(started), lease_time_(longest_lease_time) {}

std::vector<server_group>
quota_lender::on_request(instant now, const host_id& from, std::uint64_t number,
                         const std::vector<server_group>& groups, duration time,
                         const std::function<bool(const server_group&)>& is_chosen)
{
    auto& newest = newest_requests_[from];
    if (number <= newest.number) {
        return {};
    }
    newest = {.number = number, .at = now};
    std::erase_if(leases_, [&](const auto& it) {
        return it.second.to == from &&
               std::find(groups.begin(), groups.end(), it.first) == groups.end();
    });
    std::vector<server_group> out;
    for (const auto& it : groups) {
        if (is_chosen(it) && lease(now, it, from, time)) {
            out.push_back(it);
        }
    }
    return out;
}

bool quota_lender::lease(instant now, const server_group& group, const host_id& to, duration time)
{
    const auto found = leases_.find(group);
    const bool leased =
        found != leases_.end() && found->second.to != to && now < found->second.until;
    if (leased || now < started_ + lease_time_) {
        return false;
    }
    leases_[group] = {.to = to,
                      .until = now + std::clamp<duration>(time, duration{0}, longest_lease_time)};
    return true;
}

void quota_lender::on_returned(const host_id& by)
{
    std::erase_if(leases_, [&](const auto& it) { return it.second.to == by; });
    newest_requests_.erase(by);
}

bool quota_lender::may_use(instant now, const server_group& group) const
{
    const auto found = leases_.find(group);
    const bool leased = found != leases_.end() && now < found->second.until;
    return now >= started_ + lease_time_ && !leased;
}

void quota_lender::tick(instant now)
{
    std::erase_if(leases_, [now](const auto& it) { return now >= it.second.until; });
    std::erase_if(newest_requests_,
                  [now](const auto& it) { return now - it.second.at > longest_message_delay; });
}

// ---- quota_borrower

std::uint64_t quota_borrower::on_request(instant now, const std::set<server_group>& groups,
                                         duration time)
{
    const auto number = ++last_number_;
    ends_[number] = now + time;
    std::erase_if(leases_, [&](const auto& it) { return !groups.contains(it.first); });
    std::erase_if(requested_since_, [&](const auto& it) { return !groups.contains(it.first); });
    for (const auto& it : groups) {
        requested_since_.try_emplace(it, number);
    }
    requested_ = groups;
    return number;
}

// A lease that was under way when its group was left out has been returned with that.
void quota_borrower::on_reply(const host_id& from, std::uint64_t number,
                              const std::vector<server_group>& leased)
{
    const auto end = ends_.find(number);
    if (end == ends_.end()) {
        return;
    }
    for (const auto& [group, since] : requested_since_) {
        if (number < since) {
            continue;
        }
        if (std::find(leased.begin(), leased.end(), group) == leased.end()) {
            leases_[group].erase(from);
            continue;
        }
        auto& until = leases_[group][from];
        until = std::max(until, end->second);
    }
}

void quota_borrower::return_all()
{
    ends_.clear();
    leases_.clear();
    requested_.clear();
    requested_since_.clear();
}

std::size_t quota_borrower::count(instant now, const server_group& group) const
{
    const auto found = leases_.find(group);
    if (found == leases_.end()) {
        return 0;
    }
    const auto& by_host = found->second;
    return static_cast<std::size_t>(std::count_if(
        by_host.begin(), by_host.end(), [now](const auto& it) { return now < it.second; }));
}

void quota_borrower::tick(instant now)
{
    std::erase_if(ends_, [now](const auto& it) { return now >= it.second; });
    for (auto& [group, by_host] : leases_) {
        std::erase_if(by_host, [now](const auto& it) { return now >= it.second; });
    }
}

// ---- share

// A fallback dispatcher has none, as those who asked in vain may be many.
double quota_share(const quota_share_input& it)
{
    if (it.fallback) {
        return 0;
    }
    const auto known = static_cast<double>(std::max<std::size_t>(it.known_hosts, 1));
    const auto quotas = static_cast<double>(it.borrowed) + (it.own ? 1.0 : 0.0);
    return std::min(quotas / known, 1.0);
}

} // namespace quincewing
