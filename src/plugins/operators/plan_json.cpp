#include "plan_json.hpp"

#include "quincewing/settings/settings_file.hpp"

#include <set>

namespace quincewing {

namespace {

using nlohmann::json;

std::string text(const json& it, const char* key)
{
    const auto found = it.find(key);
    if (found == it.end() || !found->is_string() || found->get<std::string>().empty()) {
        throw std::invalid_argument(std::string{key} + ": expected a text");
    }
    return found->get<std::string>();
}

server_entry server_from(const json& it)
{
    server_entry out{.id = server_id{text(it, "server")},
                     .service = service_id{text(it, "service")},
                     .data_centre = data_centre_id{text(it, "data_centre")},
                     .address = text(it, "address")};
    if (!is_address(out.address)) {
        throw std::invalid_argument("address: expected ip:port");
    }
    return out;
}

intent to_intent(const json& it)
{
    const auto kind = text(it, "intent");
    if (kind == "add") {
        return add_intent{.server = server_from(it)};
    }
    if (kind == "retire") {
        return retire_intent{.server = server_id{text(it, "server")}};
    }
    if (kind == "spread") {
        return spread_intent{.service = service_id{text(it, "service")}, .key = text(it, "key")};
    }
    if (kind == "pin") {
        return pin_intent{.service = service_id{text(it, "service")},
                          .key = text(it, "key"),
                          .server = server_id{text(it, "server")}};
    }
    if (kind == "set") {
        return set_intent{.name = text(it, "name"), .value = text(it, "value")};
    }
    if (kind == "level") {
        return level_intent{.service = service_id{text(it, "service")}};
    }
    throw std::invalid_argument("intent: expected add, retire, spread, pin, set or level");
}

json to_json(const server_entry& it)
{
    return {{"server", it.id.value},
            {"service", it.service.value},
            {"data_centre", it.data_centre.value},
            {"address", it.address}};
}

shard_move move_from(const json& it)
{
    return {.shard = {service_id{text(it, "service")}, it.at("shard").get<std::uint32_t>()},
            .expected_fence = {.offset = it.at("expected_offset").get<std::uint64_t>(),
                               .round = it.at("expected_round").get<std::uint32_t>()},
            .to = server_id{text(it, "to")},
            .standby = server_id{text(it, "standby")}};
}

} // namespace

std::string operator_from_json(const json& it)
{
    const auto found = it.find("operator");
    return found != it.end() && found->is_string() ? found->get<std::string>() : "";
}

tl::expected<intent, std::string> intent_from_json(const json& it)
{
    try {
        return to_intent(it);
    } catch (const std::exception& e) {
        return tl::make_unexpected(std::string{e.what()});
    }
}

json to_json(const plan& it, const log_state& state)
{
    json out{{"plan", it.record.plan.value},
             {"operator", it.record.operator_name},
             {"expected_version", it.record.expected_version},
             {"add", json::array()},
             {"retire", json::array()},
             {"set", it.record.set},
             {"moves", json::array()}};
    for (const auto& server : it.record.add) {
        out["add"].push_back(to_json(server));
    }
    for (const auto& server : it.record.retire) {
        out["retire"].push_back(server.value);
    }
    for (const auto& move : it.record.moves) {
        const auto entry = state.shards().find(move.shard);
        out["moves"].push_back(
            {{"service", move.shard.service.value},
             {"shard", move.shard.number},
             {"from", entry == state.shards().end() ? "" : entry->second.owner.value},
             {"to", move.to.value},
             {"standby", move.standby.value},
             {"expected_offset", move.expected_fence.offset},
             {"expected_round", move.expected_fence.round}});
    }
    const auto& forecast = it.forecast;
    out["forecast"] = {{"imbalance_before", forecast.imbalance_before},
                       {"imbalance_after", forecast.imbalance_after},
                       {"shards_moved", forecast.shards_moved},
                       {"churn", forecast.churn},
                       {"unavailable_ms", forecast.unavailable_time.count() / 1000}};
    return out;
}

tl::expected<plan_confirmed, std::string> plan_from_json(const json& it)
{
    try {
        plan_confirmed out{.plan = plan_id{text(it, "plan")},
                           .operator_name = operator_from_json(it),
                           .expected_version = it.at("expected_version").get<std::uint64_t>()};
        for (const auto& server : it.at("add")) {
            out.add.push_back(server_from(server));
        }
        for (const auto& server : it.at("retire")) {
            out.retire.push_back(server_id{server.get<std::string>()});
        }
        out.set = it.at("set").get<std::map<std::string, std::string>>();
        for (const auto& move : it.at("moves")) {
            out.moves.push_back(move_from(move));
        }
        return out;
    } catch (const std::exception& e) {
        return tl::make_unexpected(std::string{"not a plan: "} + e.what());
    }
}

} // namespace quincewing
