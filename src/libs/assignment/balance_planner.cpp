#include "quincewing/assignment/balance_planner.hpp"

#include "service_planner.hpp"

namespace quincewing {

std::vector<server_utilization> estimate_utilizations(const balance_input& input,
                                                      const balance_options& options,
                                                      const service_id& service)
{
    return service_planner{input, options, service}.utilizations();
}

std::vector<planned_move> plan_moves(const balance_input& input, const balance_options& options)
{
    std::vector<planned_move> out;
    for (const auto& service : input.services) {
        auto moves = service_planner{input, options, service}.plan();
        out.insert(out.end(), moves.begin(), moves.end());
    }
    return out;
}

} // namespace quincewing
