#include "quincewing/dispatch/kind_shares.hpp"

#include <cmath>

namespace quincewing {

void kind_shares::age(instant now)
{
    constexpr millis step{100};
    if (now - aged_ < step) {
        return;
    }
    const auto past = std::chrono::duration<double>(now - aged_);
    const auto memory = std::chrono::duration<double>(options_.memory);
    const auto keep = std::exp(-past / memory);
    aged_ = now;
    for (auto& [kind, it] : kinds_) {
        it.asked *= keep;
        it.served *= keep;
    }
    std::erase_if(kinds_, [](const auto& it) { return it.second.asked < 0.01; });
}

void kind_shares::on_asked(instant now, std::uint64_t kind)
{
    age(now);
    kinds_[kind].asked += 1;
}

void kind_shares::on_served(instant now, std::uint64_t kind)
{
    age(now);
    kinds_[kind].served += 1;
}

double kind_shares::standing(std::uint64_t kind, std::uint32_t priority) const
{
    const auto found = kinds_.find(kind);
    const auto it = found == kinds_.end() ? counts{} : found->second;
    const auto share = (it.served + options_.assumed) / (it.asked + options_.assumed);
    return share + options_.less_each_rank * priority;
}

} // namespace quincewing
