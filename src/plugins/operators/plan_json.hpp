#pragma once

#include "quincewing/placement/planner.hpp"

#include <nlohmann/json.hpp>
#include <string>
#include <tl/expected.hpp>

namespace quincewing {

/// An intent as operators send it: {"intent": "add", ...}.
tl::expected<intent, std::string> intent_from_json(const nlohmann::json& it);
/// The operator that an intent or a plan names; empty if it names none.
std::string operator_from_json(const nlohmann::json& it);
/// A plan as operators read, keep and confirm it.
nlohmann::json to_json(const plan& it, const log_state& state);
tl::expected<plan_confirmed, std::string> plan_from_json(const nlohmann::json& it);

} // namespace quincewing
