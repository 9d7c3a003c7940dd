#include "quincewing/state/log_state.hpp"

#include "quincewing/base/hash.hpp"
#include "quincewing/base/invariant.hpp"
#include "quincewing/codec/codec.hpp"

#include <algorithm>

namespace quincewing {

namespace {

// A record id only has to be known while its author may still repeat it.
constexpr std::size_t recent_ids_kept = 1024;
constexpr std::size_t plans_kept = 256;

apply_result accepted()
{
    return {.accepted = true};
}

apply_result refused(std::string reason)
{
    return {.accepted = false, .reason = std::move(reason)};
}

} // namespace

apply_result log_state::apply(log_offset offset, const record& it)
{
    check_invariant(offset.value > applied_offset_, "log offsets grow");
    applied_offset_ = offset.value;
    if (is_repeat(it.id)) {
        return refused("repeat of a record already read");
    }
    return std::visit([&](const auto& body) { return apply_body(offset.value, it, body); },
                      it.body);
}

bool log_state::is_repeat(const record_id& id)
{
    if (!recent_set_.insert(id).second) {
        return true;
    }
    recent_ids_.push_back(id);
    if (recent_ids_.size() > 2 * recent_ids_kept) {
        const auto last = recent_ids_.begin() + recent_ids_kept;
        std::for_each(recent_ids_.begin(), last,
                      [this](const auto& old) { recent_set_.erase(old); });
        recent_ids_.erase(recent_ids_.begin(), last);
    }
    return false;
}

apply_result log_state::apply_body(std::uint64_t offset, const record& /*it*/,
                                   const initial_deployment& body)
{
    if (config_version_ != 0) {
        return refused("the deployment exists since offset " + std::to_string(config_version_));
    }
    config_version_ = offset;
    shards_version_ = offset;
    for (const auto& server : body.servers) {
        servers_[server.id] = server;
        pairs_[server.id] = {};
    }
    for (const auto& service : body.services) {
        services_[service.id] = service;
        place_shards(offset, service);
    }
    return accepted();
}

// Shards start dealt round the servers in name order; the planner improves on that later.
void log_state::place_shards(std::uint64_t offset, const service_entry& service)
{
    std::vector<server_id> owners;
    for (const auto& [id, server] : servers_) {
        if (server.service == service.id) {
            owners.push_back(id);
        }
    }
    if (owners.empty()) {
        return;
    }
    for (std::uint32_t i = 0; i < service.shards; ++i) {
        const auto next = (i + 1 + i / owners.size() % std::max<std::size_t>(owners.size() - 1, 1));
        shards_[{service.id, i}] = {.owner = owners[i % owners.size()],
                                    .standby = owners[next % owners.size()],
                                    .fence = {.offset = offset}};
    }
}

apply_result log_state::apply_body(std::uint64_t offset, const record& it, const pair_change& body)
{
    const auto found = pairs_.find(body.server);
    if (found == pairs_.end()) {
        return refused("no server " + body.server.value);
    }
    if (found->second.term != body.expected_term) {
        return refused("the pair changed at " + std::to_string(found->second.term));
    }
    const auto old = found->second;
    const bool same_leader = old.leader == body.leader;
    found->second = {.leader = body.leader,
                     .standby = body.standby,
                     .term = offset,
                     .isolation_hold = body.isolation_hold,
                     .author = it.author,
                     .ledger_missing = body.ledger_missing,
                     .leader_first_term = same_leader ? old.leader_first_term : offset,
                     .previous_leader_last_term =
                         same_leader ? old.previous_leader_last_term : old.term};
    return accepted();
}

std::string log_state::objection_to(const shard_move& move) const
{
    const auto shard = shards_.find(move.shard);
    if (shard == shards_.end()) {
        return "no shard " + to_string(move.shard);
    }
    if (shard->second.fence != move.expected_fence) {
        return "shard " + to_string(move.shard) + " moved at " + to_string(shard->second.fence);
    }
    if (shard->second.previous_owner) {
        return "shard " + to_string(move.shard) + " is still moving";
    }
    const auto to = servers_.find(move.to);
    if (to == servers_.end() || to->second.service != move.shard.service) {
        return "no server " + move.to.value + " in " + move.shard.service.value;
    }
    return {};
}

void log_state::make_move(std::uint64_t offset, std::uint32_t round, const shard_move& move)
{
    auto& shard = shards_[move.shard];
    shards_version_ = offset;
    if (shard.owner != move.to) {
        shard.previous_owner = shard.owner;
    }
    shard.owner = move.to;
    shard.standby = move.standby;
    shard.fence = {.offset = offset, .round = round};
}

apply_result log_state::apply_body(std::uint64_t offset, const record& /*it*/,
                                   const shard_moves& body)
{
    std::string reason;
    std::size_t n = 0;
    for (const auto& move : body.moves) {
        auto objection = objection_to(move);
        if (objection.empty()) {
            make_move(offset, 0, move);
            ++n;
        } else {
            reason = std::move(objection);
        }
    }
    return n > 0 ? accepted() : refused(reason);
}

apply_result log_state::apply_body(std::uint64_t offset, const record& /*it*/,
                                   const moves_completed& body)
{
    std::size_t n = 0;
    for (const auto& item : body.items) {
        const auto shard = shards_.find(item.shard);
        if (shard != shards_.end() && shard->second.fence == item.fence) {
            shard->second.previous_owner.reset();
            shards_version_ = offset;
            ++n;
        }
    }
    return n > 0 ? accepted() : refused("the shards moved on");
}

std::string log_state::objection_to(const plan_confirmed& body) const
{
    if (body.expected_version != config_version_) {
        const auto* winner = plans_.empty() ? nullptr : &plans_.back();
        for (const auto& result : plans_) {
            winner = result.accepted ? &result : winner;
        }
        return "the configuration changed at " + std::to_string(config_version_) +
               (winner != nullptr ? " by plan " + winner->plan.value : "");
    }
    for (const auto& server : body.add) {
        if (servers_.contains(server.id)) {
            return "server " + server.id.value + " exists";
        }
        if (!services_.contains(server.service)) {
            return "no service " + server.service.value;
        }
    }
    for (const auto& id : body.retire) {
        if (!servers_.contains(id)) {
            return "no server " + id.value;
        }
    }
    return {};
}

apply_result log_state::apply_body(std::uint64_t offset, const record& /*it*/,
                                   const plan_confirmed& body)
{
    if (const auto* earlier = find_plan(body.plan); earlier != nullptr && earlier->accepted) {
        return refused("plan " + body.plan.value + " is already in force");
    }
    auto reason = objection_to(body);
    // Moves may go to servers that the same plan adds, so these are checked after adding.
    auto next = *this;
    if (reason.empty()) {
        for (const auto& server : body.add) {
            next.servers_[server.id] = server;
            next.pairs_[server.id] = {};
        }
        for (const auto& move : body.moves) {
            reason = next.objection_to(move);
            if (!reason.empty()) {
                break;
            }
            next.make_move(offset, 0, move);
        }
    }
    if (reason.empty()) {
        for (const auto& id : body.retire) {
            next.servers_[id].retiring = true;
        }
        for (const auto& [key, value] : body.set) {
            next.operator_settings_[key] = value;
        }
        next.config_version_ = offset;
        *this = std::move(next);
    }
    plans_.push_back(
        {.plan = body.plan, .accepted = reason.empty(), .reason = reason, .offset = offset});
    if (plans_.size() > plans_kept) {
        plans_.erase(plans_.begin());
    }
    return reason.empty() ? accepted() : refused(reason);
}

apply_result log_state::apply_body(std::uint64_t offset, const record& /*it*/,
                                   const snapshot_chunk& body)
{
    if (body.index == 0) {
        chunks_as_of_ = body.as_of;
        chunks_seen_ = 0;
    }
    if (body.as_of != chunks_as_of_ || body.index != chunks_seen_) {
        return refused("a chunk of another snapshot came between");
    }
    ++chunks_seen_;
    if (chunks_seen_ == body.count) {
        snapshot_offset_ = offset;
    }
    return accepted();
}

const plan_result* log_state::find_plan(const plan_id& plan) const
{
    const plan_result* found = nullptr;
    for (const auto& result : plans_) {
        if (result.plan == plan && (found == nullptr || result.accepted)) {
            found = &result;
        }
    }
    return found;
}

std::string log_state::serialise() const
{
    return codec::encode(*this);
}

tl::expected<log_state, std::string> log_state::parse(std::string_view buf)
{
    auto it = codec::decode<log_state>(buf);
    if (it) {
        it->recent_set_ = {it->recent_ids_.begin(), it->recent_ids_.end()};
    }
    return it;
}

bool log_state::replace_if_newer(log_state other)
{
    if (other.applied_offset_ <= applied_offset_) {
        return false;
    }
    other.snapshot_offset_ = std::max(other.snapshot_offset_, snapshot_offset_);
    *this = std::move(other);
    return true;
}

} // namespace quincewing
