#include "quincewing/admission/connection_budget.hpp"

#include <algorithm>

namespace quincewing {

std::size_t connection_budget::limit() const
{
    const auto n = static_cast<double>(options_.descriptors) * options_.caller_share;
    return std::max<std::size_t>(1, static_cast<std::size_t>(n));
}

bool connection_budget::may_choose(instant now)
{
    if (now < next_choice_) {
        return false;
    }
    next_choice_ = now + options_.choice_interval;
    return true;
}

std::vector<memory_holder> connection_budget::choose(instant now,
                                                     std::vector<quiet_connection> quiet) const
{
    std::erase_if(quiet, [&](const auto& it) {
        return it.unfinished_head && now - it.since < options_.unfinished_head_time;
    });
    std::sort(quiet.begin(), quiet.end(),
              [](const auto& a, const auto& b) { return a.since < b.since; });
    const auto freed = static_cast<double>(limit()) * options_.freed_share;
    const auto n = std::max<std::size_t>(1, static_cast<std::size_t>(freed));
    std::vector<memory_holder> out;
    for (std::size_t i = 0; i < std::min(n, quiet.size()); ++i) {
        out.push_back(quiet[i].id);
    }
    return out;
}

} // namespace quincewing
