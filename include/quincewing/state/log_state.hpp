#pragma once

#include "quincewing/state/record.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace quincewing {

/// Whether applying a record changed the state. Rejected records stay in the log but have no effect
/// (they are void).
struct apply_result
{
    bool accepted{};
    /// Why the record is void; empty when accepted.
    std::string reason;
};

/// Whether a confirmed plan was accepted; kept so that operators can look it up.
struct plan_result
{
    plan_id plan;
    bool accepted{};
    std::string reason;
    /// Log offset of the plan's record.
    std::uint64_t offset{};

    template <class F>
    void each_field(F&& f)
    {
        f(plan);
        f(accepted);
        f(reason);
        f(offset);
    }
};

/// The replicated state: the result of applying the log's records in order. It is equal on all
/// hosts that have applied the same offset.
class log_state
{
public:
    /// Applies the record at this offset. Offsets must increase from call to call.
    apply_result apply(log_offset offset, const record& rec);

    /// Offset of the last applied record, void ones included; 0 before the first.
    [[nodiscard]] std::uint64_t applied_offset() const { return applied_offset_; }
    /// Offset of the last accepted initial deployment or plan.
    [[nodiscard]] std::uint64_t config_version() const { return config_version_; }
    /// Offset of the last record that changed a shard's owner, standby or fence, or completed a
    /// move.
    [[nodiscard]] std::uint64_t shards_version() const { return shards_version_; }
    /// Offset of the last chunk of the newest complete snapshot in the log; 0 when there is none.
    [[nodiscard]] std::uint64_t snapshot_offset() const { return snapshot_offset_; }

    [[nodiscard]] const std::map<service_id, service_entry>& services() const { return services_; }
    [[nodiscard]] const std::map<server_id, server_entry>& servers() const { return servers_; }
    [[nodiscard]] const std::map<server_id, pair_entry>& pairs() const { return pairs_; }
    [[nodiscard]] const std::map<shard_id, shard_entry>& shards() const { return shards_; }
    [[nodiscard]] const std::map<std::string, std::string>& operator_settings() const
    {
        return operator_settings_;
    }
    [[nodiscard]] const std::vector<plan_result>& plans() const { return plans_; }
    /// The accepted result of the plan, else its last rejection; null when no record of it is kept.
    [[nodiscard]] const plan_result* find_plan(const plan_id& plan) const;

    /// Equal states give equal bytes.
    [[nodiscard]] std::string serialise() const;
    static tl::expected<log_state, std::string> parse(std::string_view buf);

    /// Replaces this state by the other one if that has applied more of the log. Returns whether it
    /// did.
    bool replace_if_newer(log_state other);

    template <class F>
    void each_field(F&& f)
    {
        f(applied_offset_);
        f(config_version_);
        f(shards_version_);
        f(services_);
        f(servers_);
        f(pairs_);
        f(shards_);
        f(operator_settings_);
        f(plans_);
        f(recent_ids_);
    }

private:
    apply_result apply_body(std::uint64_t offset, const record& rec,
                            const initial_deployment& body);
    apply_result apply_body(std::uint64_t offset, const record& rec, const pair_change& body);
    apply_result apply_body(std::uint64_t offset, const record& rec, const shard_moves& body);
    apply_result apply_body(std::uint64_t offset, const record& rec, const moves_completed& body);
    apply_result apply_body(std::uint64_t offset, const record& rec, const plan_confirmed& body);
    apply_result apply_body(std::uint64_t offset, const record& rec, const snapshot_chunk& body);
    /// Why the move or plan can't be applied; empty when it can.
    [[nodiscard]] std::string rejection_reason(const shard_move& move) const;
    [[nodiscard]] std::string rejection_reason(const plan_confirmed& body) const;
    void apply_move(std::uint64_t offset, std::uint32_t round, const shard_move& move);
    void assign_initial_shards(std::uint64_t offset, const service_entry& service);
    bool is_duplicate(const record_id& id);

    std::uint64_t applied_offset_{};
    std::uint64_t config_version_{};
    std::uint64_t shards_version_{};
    std::uint64_t snapshot_offset_{};
    /// Chunks read so far of the snapshot at chunks_snapshot_offset_.
    std::uint32_t chunks_seen_{};
    std::uint64_t chunks_snapshot_offset_{};
    std::map<service_id, service_entry> services_;
    std::map<server_id, server_entry> servers_;
    std::map<server_id, pair_entry> pairs_;
    std::map<shard_id, shard_entry> shards_;
    std::map<std::string, std::string> operator_settings_;
    std::vector<plan_result> plans_;
    std::vector<record_id> recent_ids_;
    /// Index of recent_ids_ for look-up; not serialised.
    std::set<record_id> recent_id_set_;
};

} // namespace quincewing
