#pragma once

#include "quincewing/host/host_task.hpp"

#include <nlohmann/json.hpp>
#include <string>

namespace quincewing {

/// What this host is and serves.
nlohmann::json status_json(const host_task& host);
/// What is known of a request, a plan, a server or a key "service/key"; null when nothing is.
nlohmann::json explain_json(const host_task& host, const std::string& name);

} // namespace quincewing
