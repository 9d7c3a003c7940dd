#include "quincewing/deployment/server_conditions.hpp"

#include "quincewing/base/hash.hpp"

#include <algorithm>
#include <bit>
#include <string>

namespace quincewing {

namespace {

std::optional<request_rate> limit_of(const server_condition& told)
{
    return told.rate_limit.value > 0 ? std::optional{told.rate_limit} : std::nullopt;
}

/// Whether a takes less than b. A server without a limit takes most.
bool is_lower(std::optional<request_rate> a, std::optional<request_rate> b)
{
    return a && (!b || *a < *b);
}

} // namespace

const server_conditions::condition* server_conditions::find(const backend_server& process) const
{
    const auto found = processes_.find(process.id);
    const bool known = found != processes_.end() && found->second.start == process.start;
    return known ? &found->second : nullptr;
}

server_conditions::condition* server_conditions::entry_of(const server_id& id, server_start start)
{
    const auto found = processes_.find(id);
    if (found == processes_.end()) {
        return processes_.size() < options_.max_processes
                   ? &processes_.emplace(id, condition{.start = start}).first->second
                   : nullptr;
    }
    if (found->second.start < start) {
        found->second = {.start = start};
    }
    return found->second.start == start ? &found->second : nullptr;
}

bool server_conditions::set_limit(instant now, condition& to, std::optional<request_rate> limit)
{
    if (to.rate_limit == limit) {
        return false;
    }
    if (!to.rate_limit) {
        to.limited_since = now;
    }
    to.rate_limit = limit;
    return true;
}

// A lower limit holds at once. A higher one, or none, holds if the request was sent after the
// last answer that said otherwise: answers to requests that run beside each other may come in
// another order than the server gave them.
bool server_conditions::on_limit(instant now, condition& to, instant sent_at,
                                 const server_notice& notice)
{
    if (notice.rate_limit_unreadable) {
        return false;
    }
    if (notice.rate_limit == to.rate_limit) {
        to.said_at = now;
        return false;
    }
    if (!is_lower(notice.rate_limit, to.rate_limit) && sent_at <= to.said_at) {
        return false;
    }
    to.said_at = now;
    return set_limit(now, to, notice.rate_limit);
}

condition_change server_conditions::on_notice(instant now, const backend_server& process,
                                              instant sent_at, const server_notice& notice)
{
    const bool says_something = notice.rate_limit || notice.leaving || notice.rest;
    if (!says_something && find(process) == nullptr) {
        return {};
    }
    auto* entry = entry_of(process.id, process.start);
    if (entry == nullptr) {
        return {};
    }
    condition_change out{.shared = on_limit(now, *entry, sent_at, notice)};
    if (notice.leaving && !entry->leaving) {
        entry->leaving = true;
        out.shared = true;
    }
    if (notice.rest) {
        out.rest_began = now >= entry->rest_until;
        entry->rest_until = std::max(entry->rest_until, now + *notice.rest);
    }
    digest_.reset();
    if (out.shared) {
        findings_.insert(process.id);
    }
    return out;
}

// Of two answers that came at about the same time the one with the lower limit holds, so that all
// hosts decide alike.
bool server_conditions::is_newer(const condition& known, instant said_at,
                                 std::optional<request_rate> limit) const
{
    const auto lead = said_at - known.said_at;
    if (std::chrono::abs(lead) <= options_.told_time_error) {
        return is_lower(limit, known.rate_limit);
    }
    return lead > duration{0};
}

bool server_conditions::merge_limit(instant now, condition& to, const server_condition& told)
{
    const auto limit = limit_of(told);
    const auto said_at = now - duration{told.age};
    if (to.rate_limit == limit) {
        to.said_at = std::max(to.said_at, said_at);
        return false;
    }
    if (!is_newer(to, said_at, limit)) {
        findings_.insert(told.server);
        return false;
    }
    to.said_at = said_at;
    return set_limit(now, to, limit);
}

bool server_conditions::merge(instant now, const server_condition& told)
{
    const bool says_something = limit_of(told) || told.leaving;
    if (!says_something && !processes_.contains(told.server)) {
        return false;
    }
    auto* entry = entry_of(told.server, told.start);
    if (entry == nullptr) {
        return false;
    }
    const bool begins_to_leave = told.leaving && !entry->leaving;
    entry->leaving = entry->leaving || told.leaving;
    return merge_limit(now, *entry, told) || begins_to_leave;
}

bool server_conditions::on_report(instant now, const server_condition_report& report)
{
    digest_.reset();
    bool changed = false;
    for (const auto& it : report.servers) {
        changed = merge(now, it) || changed;
    }
    return changed;
}

void server_conditions::forget_old(instant now, const backend_servers& listed)
{
    for (auto& [id, it] : processes_) {
        const auto server = listed.find(id);
        if (server != listed.end() && server->second.start == it.start) {
            it.unlisted_since.reset();
        } else if (!it.unlisted_since) {
            it.unlisted_since = now;
        }
    }
    const auto forgotten = std::erase_if(processes_, [&](const auto& entry) {
        const auto& it = entry.second;
        const bool holds = it.rate_limit || it.leaving || now < it.rest_until;
        const bool ended = !holds && now - it.said_at > options_.memory;
        return ended || (it.unlisted_since && now - *it.unlisted_since > options_.memory);
    });
    if (forgotten > 0) {
        digest_.reset();
    }
}

std::optional<request_rate> server_conditions::rate_limit(const backend_server& process) const
{
    const auto* known = find(process);
    return known == nullptr ? std::nullopt : known->rate_limit;
}

std::optional<instant> server_conditions::limited_since(const backend_server& process) const
{
    const auto* known = find(process);
    return known == nullptr || !known->rate_limit ? std::nullopt
                                                  : std::optional{known->limited_since};
}

bool server_conditions::leaving(const backend_server& process) const
{
    const auto* known = find(process);
    return known != nullptr && known->leaving;
}

duration server_conditions::rest_left(instant now, const backend_server& process) const
{
    const auto* known = find(process);
    return known == nullptr ? duration{0}
                            : std::max<duration>(known->rest_until - now, duration{0});
}

std::vector<server_id> server_conditions::resting(instant now) const
{
    std::vector<server_id> out;
    for (const auto& [id, known] : processes_) {
        if (now < known.rest_until) {
            out.push_back(id);
        }
    }
    return out;
}

std::map<server_id, request_rate>
server_conditions::rate_limits(const backend_servers& listed) const
{
    std::map<server_id, request_rate> out;
    for (const auto& [id, known] : processes_) {
        const auto server = listed.find(id);
        if (known.rate_limit && server != listed.end() && server->second.start == known.start) {
            out.emplace(id, *known.rate_limit);
        }
    }
    return out;
}

// Without times, and without processes of which nothing holds any more: hosts forget these at other
// moments.
std::uint64_t server_conditions::digest() const
{
    if (digest_) {
        return *digest_;
    }
    std::uint64_t out = 0;
    for (const auto& [id, it] : processes_) {
        if (!it.rate_limit && !it.leaving) {
            continue;
        }
        const auto limit =
            std::bit_cast<std::uint64_t>(it.rate_limit.value_or(request_rate{}).value);
        const auto seed = it.start.value * 2 + (it.leaving ? 1 : 0);
        out ^= stable_hash(id.value + std::to_string(limit), seed);
    }
    digest_ = out;
    return out;
}

bool server_conditions::on_digest(instant now, std::uint64_t told)
{
    if (told == digest() || now < next_request_) {
        return false;
    }
    next_request_ = now + options_.request_interval;
    return true;
}

server_condition server_conditions::to_report(instant now, const server_id& id, const condition& it)
{
    return {.server = id,
            .start = it.start,
            .rate_limit = it.rate_limit.value_or(request_rate{0}),
            .leaving = it.leaving,
            .age =
                static_cast<std::uint64_t>(std::max<duration::rep>((now - it.said_at).count(), 0))};
}

std::optional<server_condition_report> server_conditions::take_findings(instant now)
{
    server_condition_report out;
    for (const auto& id : std::exchange(findings_, {})) {
        if (const auto found = processes_.find(id); found != processes_.end()) {
            out.servers.push_back(to_report(now, id, found->second));
        }
    }
    return out.servers.empty() ? std::nullopt : std::optional{std::move(out)};
}

server_condition_report server_conditions::report_all(instant now) const
{
    server_condition_report out;
    out.servers.reserve(processes_.size());
    for (const auto& [id, it] : processes_) {
        out.servers.push_back(to_report(now, id, it));
    }
    return out;
}

} // namespace quincewing
