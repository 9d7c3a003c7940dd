#include "quincewing/admission/crash_guard.hpp"

#include "quincewing/base/hash.hpp"

#include <algorithm>
#include <array>
#include <cstring>

namespace quincewing {

namespace {

std::uint64_t to_micros(duration it)
{
    return static_cast<std::uint64_t>(std::max<duration::rep>(it.count(), 0));
}

std::uint64_t hash_of(const std::array<std::uint64_t, 2>& values)
{
    std::array<char, sizeof values> buf{};
    std::memcpy(buf.data(), values.data(), buf.size());
    return stable_hash({buf.data(), buf.size()});
}

} // namespace

// ---- findings

void crash_guard::on_crash(instant now, std::uint64_t fingerprint, server_process process,
                           duration ran_for, bool alone)
{
    const mark it{.process = process, .alone = alone, .at = now, .ran_for = ran_for};
    if (add(now, fingerprint, it)) {
        findings_.push_back({.fingerprint = fingerprint, .it = it});
    }
}

void crash_guard::on_answer(instant now, std::uint64_t fingerprint)
{
    const auto found = requests_.find(fingerprint);
    if (found == requests_.end() || status(now, fingerprint) != crash_status::suspect) {
        return;
    }
    for (auto& it : found->second) {
        disprove(fingerprint, it);
    }
    index_processes();
}

// A process that crashed never answers again: what broke was only its connection.
void crash_guard::on_process_alive(server_process process, instant sent_at)
{
    const auto found = suspected_processes_.find(process);
    if (found == suspected_processes_.end() || sent_at <= found->second) {
        return;
    }
    for (auto& [fingerprint, of] : requests_) {
        for (auto& it : of) {
            if (it.process == process) {
                disprove(fingerprint, it);
            }
        }
    }
    index_processes();
}

void crash_guard::disprove(std::uint64_t fingerprint, mark& it)
{
    if (it.disproved) {
        return;
    }
    it.disproved = true;
    findings_.push_back({.fingerprint = fingerprint, .it = it});
}

// ---- what is known

bool crash_guard::expired(instant now, const marks& of) const
{
    const bool suspected =
        std::any_of(of.begin(), of.end(), [](const auto& it) { return !it.disproved; });
    return of.back().at + (suspected ? options_.memory : options_.disproved_memory) <= now;
}

// Copies of an innocent request may run at many servers that all lose power. Such crashes count as
// one: only a request that is sent after a crash, and crashes a server again, is the cause.
crash_status crash_guard::status(instant now, std::uint64_t fingerprint) const
{
    const auto found = requests_.find(fingerprint);
    if (found == requests_.end() || expired(now, found->second)) {
        return crash_status::clear;
    }
    std::size_t all = 0;
    std::size_t successive = 0;
    bool last_alone = false;
    instant last{};
    for (const auto& it : found->second) {
        if (it.disproved) {
            continue;
        }
        ++all;
        last_alone = it.alone;
        if (successive == 0 || it.at - it.ran_for >= last) {
            ++successive;
            last = it.at;
        }
    }
    const bool quarantined = successive >= options_.crashes_to_quarantine ||
                             (last_alone && successive >= options_.crashes_alone_to_quarantine) ||
                             (successive > 1 && all >= options_.overlapping_crashes_to_quarantine);
    if (quarantined) {
        return crash_status::quarantined;
    }
    return all > 0 ? crash_status::suspect : crash_status::clear;
}

duration crash_guard::quarantine_left(instant now, std::uint64_t fingerprint) const
{
    if (status(now, fingerprint) != crash_status::quarantined) {
        return duration{0};
    }
    return requests_.at(fingerprint).back().at + options_.memory - now;
}

std::set<std::uint64_t> crash_guard::quarantined(instant now) const
{
    std::set<std::uint64_t> out;
    for (const auto& [fingerprint, of] : requests_) {
        if (status(now, fingerprint) == crash_status::quarantined) {
            out.insert(fingerprint);
        }
    }
    return out;
}

bool crash_guard::add(instant now, std::uint64_t fingerprint, const mark& it)
{
    auto found = requests_.find(fingerprint);
    if (found == requests_.end()) {
        make_room(now);
        found = requests_.try_emplace(fingerprint).first;
    }
    auto& of = found->second;
    if (!of.empty() && expired(now, of)) {
        of.clear();
    }
    const auto known =
        std::find_if(of.begin(), of.end(), [&](const auto& m) { return m.process == it.process; });
    if (known != of.end()) {
        const bool is_new = it.disproved && !known->disproved;
        known->disproved = known->disproved || it.disproved;
        return is_new;
    }
    if (of.size() >= options_.max_marks_per_request) {
        return false;
    }
    const auto after =
        std::find_if(of.begin(), of.end(), [&](const auto& m) { return m.at > it.at; });
    of.insert(after, it);
    if (!it.disproved) {
        auto& last = suspected_processes_[it.process];
        last = std::max(last, it.at);
    }
    return true;
}

void crash_guard::forget_expired(instant now)
{
    const auto forgotten =
        std::erase_if(requests_, [&](const auto& entry) { return expired(now, entry.second); });
    if (forgotten > 0) {
        index_processes();
    }
}

void crash_guard::make_room(instant now)
{
    if (requests_.size() < options_.max_requests) {
        return;
    }
    forget_expired(now);
    if (requests_.size() < options_.max_requests) {
        return;
    }
    const auto last_at = [](const auto& entry) { return entry.second.back().at; };
    requests_.erase(
        std::min_element(requests_.begin(), requests_.end(),
                         [&](const auto& a, const auto& b) { return last_at(a) < last_at(b); }));
    index_processes();
}

void crash_guard::index_processes()
{
    suspected_processes_.clear();
    for (const auto& [fingerprint, of] : requests_) {
        for (const auto& it : of) {
            if (!it.disproved) {
                auto& last = suspected_processes_[it.process];
                last = std::max(last, it.at);
            }
        }
    }
}

// ---- exchange with other hosts

std::optional<crash_report> crash_guard::take_findings(instant now)
{
    if (findings_.empty()) {
        return {};
    }
    crash_report out;
    for (const auto& [fingerprint, it] : findings_) {
        out.marks.push_back(to_crash_mark(now, fingerprint, it));
    }
    findings_.clear();
    return out;
}

crash_mark crash_guard::to_crash_mark(instant now, std::uint64_t fingerprint, const mark& it)
{
    return {.fingerprint = fingerprint,
            .process = it.process,
            .alone = it.alone,
            .disproved = it.disproved,
            .age = to_micros(now - it.at),
            .ran_for = to_micros(it.ran_for)};
}

std::optional<crash_report> crash_guard::on_report(instant now, const crash_report& report)
{
    for (const auto& it : report.marks) {
        if (it.age < static_cast<std::uint64_t>(options_.memory.count())) {
            const duration age{static_cast<duration::rep>(it.age)};
            add(now, it.fingerprint,
                {.process = it.process,
                 .alone = it.alone,
                 .disproved = it.disproved,
                 .at = now - age,
                 .ran_for = duration{static_cast<duration::rep>(it.ran_for)}});
        }
    }
    index_processes();
    if (!report.wants_all) {
        return {};
    }
    return report_all(now, false);
}

std::uint64_t crash_guard::digest(instant now)
{
    forget_expired(now);
    std::uint64_t out = 0;
    for (const auto& [fingerprint, of] : requests_) {
        for (const auto& it : of) {
            if (!it.disproved && it.at + options_.digest_age <= now) {
                out += hash_of({fingerprint, it.process.value});
            }
        }
    }
    return out;
}

// Hosts may differ for good, when more is to be remembered than there is room for. So the same two
// digests make them exchange their marks again only rarely.
std::optional<crash_report> crash_guard::on_digest(instant now, std::uint64_t told)
{
    const digest_pair both{told, digest(now)};
    const auto interval =
        last_exchange_ == both ? options_.unchanged_exchange_interval : options_.exchange_interval;
    const bool due = !last_exchange_ || last_exchange_at_ + interval <= now;
    if (both.first == both.second || !due) {
        return {};
    }
    last_exchange_at_ = now;
    last_exchange_ = both;
    return report_all(now, true);
}

crash_report crash_guard::report_all(instant now, bool wants_all) const
{
    crash_report out{.wants_all = wants_all};
    for (const auto& [fingerprint, of] : requests_) {
        const auto marks = marks_of(now, fingerprint);
        out.marks.insert(out.marks.end(), marks.begin(), marks.end());
    }
    return out;
}

std::vector<crash_mark> crash_guard::marks_of(instant now, std::uint64_t fingerprint) const
{
    std::vector<crash_mark> out;
    const auto found = requests_.find(fingerprint);
    if (found == requests_.end() || expired(now, found->second)) {
        return out;
    }
    for (const auto& it : found->second) {
        out.push_back(to_crash_mark(now, fingerprint, it));
    }
    return out;
}

} // namespace quincewing
