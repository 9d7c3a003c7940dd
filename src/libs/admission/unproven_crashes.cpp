#include "quincewing/admission/unproven_crashes.hpp"

#include <algorithm>

namespace quincewing {

// A process that answers has not crashed; that another one answers shows that the way is sound.
void unproven_crashes::on_answer(const host_id& way, server_process process, instant sent_at)
{
    std::erase_if(crashes_, [&](const auto& it) {
        if (it.at > sent_at) {
            return false;
        }
        const bool alive = it.process == process;
        if (!alive && it.way == way) {
            proven_.push_back(it);
        }
        return alive || it.way == way;
    });
}

void unproven_crashes::on_request_answered(std::uint64_t fingerprint)
{
    const auto same = [&](const auto& it) { return it.fingerprint == fingerprint; };
    std::erase_if(crashes_, same);
    std::erase_if(proven_, same);
}

std::vector<unproven_crash> unproven_crashes::take_proven(instant now,
                                                          const crash_evidence& evidence)
{
    auto out = std::exchange(proven_, {});
    std::erase_if(crashes_, [&](const auto& it) {
        const auto age = now - it.at;
        const bool proven =
            !evidence.listed(it.process) || (age > options_.max_wait && !evidence.cut_off(it.way));
        if (proven) {
            out.push_back(it);
        }
        return proven || age > options_.memory;
    });
    return out;
}

} // namespace quincewing
