#include "quincewing/deployment/evacuations.hpp"

#include <algorithm>
#include <utility>

namespace quincewing {

const char* to_string(evacuation_stage it)
{
    switch (it) {
    case evacuation_stage::evacuated:
        return "evacuated";
    case evacuation_stage::closed:
        return "closed";
    default:
        return "taken_back";
    }
}

void evacuations::set(instant since, const data_centre_id& it)
{
    const auto [found, inserted] = since_.try_emplace(it, since);
    found->second = std::min(found->second, since);
    if (inserted) {
        changes_.push_back({.data_centre = it, .stage = evacuation_stage::evacuated});
    }
}

void evacuations::take_back(const data_centre_id& it)
{
    closed_.erase(it);
    if (since_.erase(it) > 0) {
        changes_.push_back({.data_centre = it, .stage = evacuation_stage::taken_back});
    }
}

void evacuations::on_full_read(instant ordered_after, const std::vector<evacuation_order>& orders,
                               log_offset end)
{
    if (end < read_) {
        return;
    }
    std::set<data_centre_id> ordered;
    for (const auto& it : orders) {
        if (it.evacuated) {
            ordered.insert(it.data_centre);
            set(ordered_after, it.data_centre);
        }
    }
    std::vector<data_centre_id> taken_back;
    for (const auto& [id, since] : since_) {
        if (!ordered.contains(id)) {
            taken_back.push_back(id);
        }
    }
    for (const auto& id : taken_back) {
        take_back(id);
    }
    read_ = end;
}

void evacuations::on_order(instant ordered_after, const evacuation_order& order, log_offset at)
{
    if (at < read_) {
        return;
    }
    if (order.evacuated) {
        set(ordered_after, order.data_centre);
    } else {
        take_back(order.data_centre);
    }
    read_ = log_offset{at.value + 1};
}

void evacuations::on_read_up_to(log_offset end)
{
    read_ = std::max(read_, end);
}

void evacuations::on_told(instant now, const evacuation_state& told)
{
    if (log_offset{told.read} < read_ || told.read == 0) {
        return;
    }
    std::vector<evacuation_order> orders;
    for (const auto& it : told.evacuated) {
        orders.push_back({.data_centre = it.data_centre, .evacuated = true});
    }
    on_full_read(now, orders, log_offset{told.read});
    for (const auto& it : told.evacuated) {
        // An age beyond the clock's beginning can't be taken off.
        const auto most = static_cast<std::uint64_t>(now.time_since_epoch().count());
        const auto since = now - duration{static_cast<duration::rep>(std::min(it.age, most))};
        auto& known = since_.at(it.data_centre);
        known = std::min(known, since);
    }
}

evacuation_state evacuations::state(instant now) const
{
    evacuation_state out{.read = read_.value};
    for (const auto& [id, since] : since_) {
        const auto age = std::max<duration>(now - since, duration{0});
        out.evacuated.push_back(
            {.data_centre = id, .age = static_cast<std::uint64_t>(age.count())});
    }
    return out;
}

std::vector<evacuation_change> evacuations::take_changes(instant now)
{
    for (const auto& [id, since] : since_) {
        if (now - since >= handover_time_ && closed_.insert(id).second) {
            changes_.push_back({.data_centre = id, .stage = evacuation_stage::closed});
        }
    }
    return std::exchange(changes_, {});
}

} // namespace quincewing
