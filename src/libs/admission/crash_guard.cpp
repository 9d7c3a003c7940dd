#include "quincewing/admission/crash_guard.hpp"

#include <algorithm>

namespace quincewing {

std::vector<std::uint64_t> crash_guard::on_crash(instant now,
                                                 const std::vector<std::uint64_t>& in_flight)
{
    std::vector<std::uint64_t> out;
    const bool alone = in_flight.size() == 1;
    evict(now);
    for (const auto fingerprint : in_flight) {
        const bool known = status(now, fingerprint) != crash_status::clear;
        auto& it = entries_[fingerprint];
        it.suspect_until = now + options_.suspect_duration;
        if (alone && known) {
            it.quarantined_until = now + options_.quarantine_duration;
            out.push_back(fingerprint);
        }
    }
    return out;
}

void crash_guard::on_success(std::uint64_t fingerprint)
{
    const auto found = entries_.find(fingerprint);
    if (found != entries_.end() && !found->second.quarantined_until) {
        entries_.erase(found);
    }
}

void crash_guard::on_remote_notice(instant now, std::uint64_t fingerprint, duration quarantine_left)
{
    evict(now);
    auto& it = entries_[fingerprint];
    it.suspect_until = std::max(it.suspect_until, now + options_.suspect_duration);
    if (quarantine_left > duration{0}) {
        const auto until = now + std::min(quarantine_left, options_.quarantine_duration);
        it.quarantined_until = std::max(it.quarantined_until.value_or(until), until);
    }
}

crash_status crash_guard::status(instant now, std::uint64_t fingerprint) const
{
    const auto found = entries_.find(fingerprint);
    if (found == entries_.end()) {
        return crash_status::clear;
    }
    if (quarantine_left(now, fingerprint) > duration{0}) {
        return crash_status::quarantined;
    }
    return now < found->second.suspect_until ? crash_status::suspect : crash_status::clear;
}

duration crash_guard::quarantine_left(instant now, std::uint64_t fingerprint) const
{
    const auto found = entries_.find(fingerprint);
    if (found == entries_.end() || !found->second.quarantined_until) {
        return duration{0};
    }
    return std::max(*found->second.quarantined_until - now, duration{0});
}

void crash_guard::evict(instant now)
{
    if (entries_.size() < options_.max_entries) {
        return;
    }
    std::erase_if(entries_, [now](const auto& it) {
        return it.second.suspect_until <= now && it.second.quarantined_until.value_or(now) <= now;
    });
    while (entries_.size() >= options_.max_entries) {
        const auto oldest =
            std::min_element(entries_.begin(), entries_.end(), [](const auto& a, const auto& b) {
                return a.second.suspect_until < b.second.suspect_until;
            });
        entries_.erase(oldest);
    }
}

} // namespace quincewing
