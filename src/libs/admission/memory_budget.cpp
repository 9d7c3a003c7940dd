#include "quincewing/admission/memory_budget.hpp"

#include <algorithm>

namespace quincewing {

std::uint64_t memory_budget::short_bytes() const
{
    return static_cast<std::uint64_t>(static_cast<double>(options_.bytes) * options_.short_share);
}

std::uint64_t memory_budget::grant_bytes() const
{
    return static_cast<std::uint64_t>(static_cast<double>(options_.bytes) * options_.grant_share);
}

std::uint64_t memory_budget::wanted(const holder& it) const
{
    return it.usage.missing.value_or(options_.unknown_length_step);
}

void memory_budget::set_allowance(holder& it, std::uint64_t bytes)
{
    granted_ = granted_ - it.allowance + bytes;
    it.allowance = bytes;
}

void memory_budget::update(instant now, memory_holder id, const memory_usage& usage)
{
    const auto [found, added] = holders_.try_emplace(id);
    auto& it = found->second;
    if (added) {
        it.received_at = now;
        it.sent_at = now;
    }
    const bool begins = (usage.receiving_body && !it.usage.receiving_body) ||
                        (usage.receiving_head && !it.usage.receiving_head);
    if (begins || usage.received - it.received_mark >= options_.progress_bytes) {
        it.received_at = now;
        it.received_mark = usage.received;
    }
    const bool answer_begins = usage.answers > 0 && it.usage.answers == 0;
    if (answer_begins || usage.sent - it.sent_mark >= options_.progress_bytes) {
        it.sent_at = now;
        it.sent_mark = usage.sent;
    }
    const auto received = usage.received - it.usage.received;
    set_allowance(it, usage.receiving_body ? it.allowance - std::min(it.allowance, received) : 0);
    held_ = held_ - it.usage.total() + usage.total();
    it.usage = usage;
}

void memory_budget::remove(memory_holder id)
{
    const auto it = holders_.find(id);
    if (it == holders_.end()) {
        return;
    }
    held_ -= it->second.usage.total();
    granted_ -= it->second.allowance;
    paused_ -= it->second.paused ? 1 : 0;
    holders_.erase(it);
}

bool memory_budget::may_read(memory_holder id)
{
    const auto found = holders_.find(id);
    if (found == holders_.end()) {
        return true;
    }
    auto& it = found->second;
    if (it.paused) {
        return false;
    }
    if (!it.usage.receiving_body || it.allowance > 0 || held_ + granted_ < short_bytes()) {
        return true;
    }
    it.paused = true;
    ++paused_;
    return false;
}

void memory_budget::resume(instant now, holder& it, std::uint64_t allowance)
{
    it.paused = false;
    --paused_;
    // While it was paused it could not make progress.
    it.received_at = now;
    it.received_mark = it.usage.received;
    set_allowance(it, allowance);
}

void memory_budget::end(holder_ref it, std::vector<memory_holder>& out)
{
    const auto id = it->first;
    out.push_back(id);
    remove(id);
}

void memory_budget::end_slow(instant now, memory_actions& out)
{
    for (auto it = holders_.begin(); it != holders_.end();) {
        const auto next = std::next(it);
        const auto& held = it->second;
        if (held.usage.receiving_body && !held.paused &&
            now - held.received_at >= options_.progress_time) {
            end(it, out.too_slow);
        }
        it = next;
    }
}

void memory_budget::end_stalled(instant now, memory_actions& out)
{
    struct candidate
    {
        holder_ref it;
        bool receives;
        double weight;
    };
    std::vector<candidate> stalled;
    for (auto it = holders_.begin(); it != holders_.end(); ++it) {
        const auto& held = it->second;
        const auto& usage = held.usage;
        const auto receives = now - held.received_at;
        const auto sends = now - held.sent_at;
        const auto bytes = static_cast<double>(usage.total());
        if ((usage.receiving_body || usage.receiving_head) && !held.paused &&
            receives >= options_.short_progress_time) {
            stalled.push_back({it, true, bytes * std::chrono::duration<double>(receives).count()});
        } else if (usage.answers > 0 && sends >= options_.answer_progress_time) {
            stalled.push_back({it, false, bytes * std::chrono::duration<double>(sends).count()});
        }
    }
    std::sort(stalled.begin(), stalled.end(),
              [](const auto& a, const auto& b) { return a.weight > b.weight; });
    for (const auto& it : stalled) {
        // Paused bodies wait for this memory too.
        if (held_ + granted_ < short_bytes() && paused_ == 0) {
            return;
        }
        end(it.it, it.receives ? out.refuse : out.close);
    }
}

// Small remainders first: requests that are nearly complete soon give their memory back.
void memory_budget::grant(instant now, memory_actions& out)
{
    std::vector<holder_ref> paused;
    for (auto it = holders_.begin(); it != holders_.end(); ++it) {
        if (it->second.paused) {
            paused.push_back(it);
        }
    }
    std::stable_sort(paused.begin(), paused.end(), [this](const auto& a, const auto& b) {
        return wanted(a->second) < wanted(b->second);
    });
    for (const auto& it : paused) {
        const auto bytes = wanted(it->second);
        if (held_ + granted_ + bytes > grant_bytes()) {
            return;
        }
        resume(now, it->second, bytes);
        out.resume.push_back(it->first);
    }
}

void memory_budget::end_deadlock(instant now, memory_actions& out)
{
    if (paused_ == 0 || granted_ > 0) {
        return;
    }
    auto lacks_most = holders_.end();
    bool alone = true;
    for (auto it = holders_.begin(); it != holders_.end(); ++it) {
        const auto& usage = it->second.usage;
        const bool receives = usage.receiving_body && !it->second.paused;
        if (usage.handling || usage.answers > 0 || receives) {
            return;
        }
        if (!it->second.paused) {
            continue;
        }
        alone = alone && lacks_most == holders_.end();
        if (lacks_most == holders_.end() || wanted(it->second) > wanted(lacks_most->second)) {
            lacks_most = it;
        }
    }
    if (!alone) {
        end(lacks_most, out.refuse);
        return;
    }
    // A single body may exceed the budget; the limit of a body bounds it.
    out.resume.push_back(lacks_most->first);
    resume(now, lacks_most->second, wanted(lacks_most->second));
}

bool memory_budget::memory_short() const
{
    return held_ + granted_ >= short_bytes() || paused_ > 0;
}

memory_actions memory_budget::decide(instant now)
{
    memory_actions out;
    end_slow(now, out);
    if (memory_short()) {
        end_stalled(now, out);
        grant(now, out);
        end_deadlock(now, out);
    }
    return out;
}

} // namespace quincewing
