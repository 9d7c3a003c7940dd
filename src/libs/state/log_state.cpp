#include "quincewing/state/log_state.hpp"

#include "quincewing/base/hash.hpp"
#include "quincewing/base/invariant.hpp"
#include "quincewing/codec/codec.hpp"

#include <algorithm>

namespace quincewing {

namespace {

// Record ids kept to detect duplicates: an id matters only while its author may still retry.
constexpr std::size_t recent_ids_kept = 1024;
constexpr std::size_t plan_results_kept = 256;

apply_result accepted()
{
    return {.accepted = true};
}

apply_result rejected(std::string reason)
{
    return {.accepted = false, .reason = std::move(reason)};
}

} // namespace

apply_result log_state::apply(log_offset offset, const record& rec)
{
    check_invariant(offset.value > applied_offset_,
                    "log records are applied in increasing offset order");
    applied_offset_ = offset.value;
    if (is_duplicate(rec.id)) {
        return rejected("duplicate of a record that was already applied");
    }
    return std::visit([&](const auto& body) { return apply_body(offset.value, rec, body); },
                      rec.body);
}

bool log_state::is_duplicate(const record_id& id)
{
    if (!recent_id_set_.insert(id).second) {
        return true;
    }
    recent_ids_.push_back(id);
    if (recent_ids_.size() > 2 * recent_ids_kept) {
        const auto first_kept = recent_ids_.begin() + recent_ids_kept;
        std::for_each(recent_ids_.begin(), first_kept,
                      [this](const auto& old) { recent_id_set_.erase(old); });
        recent_ids_.erase(recent_ids_.begin(), first_kept);
    }
    return false;
}

apply_result log_state::apply_body(std::uint64_t offset, const record& /*rec*/,
                                   const initial_deployment& body)
{
    if (config_version_ != 0) {
        return rejected("the deployment was already initialised at offset " +
                        std::to_string(config_version_));
    }
    config_version_ = offset;
    shards_version_ = offset;
    for (const auto& server : body.servers) {
        servers_[server.id] = server;
        pairs_[server.id] = {};
    }
    for (const auto& service : body.services) {
        services_[service.id] = service;
        assign_initial_shards(offset, service);
    }
    return accepted();
}

// Assigns the shards round-robin to the servers in order of id, each with another server, if any,
// as standby. Plans improve this placement later.
void log_state::assign_initial_shards(std::uint64_t offset, const service_entry& service)
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
        const auto standby =
            (i + 1 + i / owners.size() % std::max<std::size_t>(owners.size() - 1, 1));
        shards_[{service.id, i}] = {.owner = owners[i % owners.size()],
                                    .standby = owners[standby % owners.size()],
                                    .fence = {.offset = offset}};
    }
}

apply_result log_state::apply_body(std::uint64_t offset, const record& rec, const pair_change& body)
{
    const auto found = pairs_.find(body.server);
    if (found == pairs_.end()) {
        return rejected("server " + body.server.value + " does not exist");
    }
    if (found->second.term != body.expected_term) {
        return rejected("the pair was changed at term " + std::to_string(found->second.term));
    }
    const auto old = found->second;
    const bool same_leader = old.leader == body.leader;
    found->second = {.leader = body.leader,
                     .standby = body.standby,
                     .term = offset,
                     .isolation_hold = body.isolation_hold,
                     .author = rec.author,
                     .ledger_missing = body.ledger_missing,
                     .leader_first_term = same_leader ? old.leader_first_term : offset,
                     .previous_leader_last_term =
                         same_leader ? old.previous_leader_last_term : old.term};
    return accepted();
}

// Reasons of plans are part of the replicated state: every build must produce the same text.
std::string log_state::rejection_reason(const shard_move& move) const
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

void log_state::apply_move(std::uint64_t offset, std::uint32_t round, const shard_move& move)
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

apply_result log_state::apply_body(std::uint64_t offset, const record& /*rec*/,
                                   const shard_moves& body)
{
    std::string reason;
    std::size_t applied = 0;
    for (const auto& move : body.moves) {
        auto rejection = rejection_reason(move);
        if (rejection.empty()) {
            apply_move(offset, 0, move);
            ++applied;
        } else {
            reason = std::move(rejection);
        }
    }
    return applied > 0 ? accepted() : rejected(reason);
}

apply_result log_state::apply_body(std::uint64_t offset, const record& /*rec*/,
                                   const moves_completed& body)
{
    std::size_t applied = 0;
    for (const auto& item : body.items) {
        const auto shard = shards_.find(item.shard);
        if (shard != shards_.end() && shard->second.fence == item.fence) {
            shard->second.previous_owner.reset();
            shards_version_ = offset;
            ++applied;
        }
    }
    return applied > 0 ? accepted() : rejected("none of the shards is still at its expected fence");
}

std::string log_state::rejection_reason(const plan_confirmed& body) const
{
    if (body.expected_version != config_version_) {
        const auto* last_accepted = plans_.empty() ? nullptr : &plans_.back();
        for (const auto& result : plans_) {
            last_accepted = result.accepted ? &result : last_accepted;
        }
        return "the configuration changed at " + std::to_string(config_version_) +
               (last_accepted != nullptr ? " by plan " + last_accepted->plan.value : "");
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

apply_result log_state::apply_body(std::uint64_t offset, const record& /*rec*/,
                                   const plan_confirmed& body)
{
    if (const auto* earlier = find_plan(body.plan); earlier != nullptr && earlier->accepted) {
        return rejected("plan " + body.plan.value + " was already accepted");
    }
    auto reason = rejection_reason(body);
    // A plan may move shards to servers that it adds, so the servers are added before the moves
    // are checked.
    auto next = *this;
    if (reason.empty()) {
        for (const auto& server : body.add) {
            next.servers_[server.id] = server;
            next.pairs_[server.id] = {};
        }
        for (const auto& move : body.moves) {
            reason = next.rejection_reason(move);
            if (!reason.empty()) {
                break;
            }
            next.apply_move(offset, 0, move);
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
    if (plans_.size() > plan_results_kept) {
        plans_.erase(plans_.begin());
    }
    return reason.empty() ? accepted() : rejected(reason);
}

apply_result log_state::apply_body(std::uint64_t offset, const record& /*rec*/,
                                   const snapshot_chunk& body)
{
    if (body.index == 0) {
        chunks_snapshot_offset_ = body.applied_offset;
        chunks_seen_ = 0;
    }
    if (body.applied_offset != chunks_snapshot_offset_ || body.index != chunks_seen_) {
        return rejected("the snapshot chunk is out of order");
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
    auto state = codec::decode<log_state>(buf);
    if (state) {
        state->recent_id_set_ = {state->recent_ids_.begin(), state->recent_ids_.end()};
    }
    return state;
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
