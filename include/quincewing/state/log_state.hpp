#pragma once

#include "quincewing/state/record.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace quincewing {

/// What became of a record when the log was replayed.
struct apply_result
{
    bool accepted{};
    /// Why it is void; empty when accepted.
    std::string reason;
};

/// A plan's fate, kept for operators.
struct plan_result
{
    plan_id plan;
    bool accepted{};
    std::string reason;
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

/// Every lasting decision, as replayed from the log. Equal on all hosts at equal offsets.
class log_state
{
public:
    /// Applies the record at this offset. Offsets must grow.
    apply_result apply(log_offset offset, const record& it);

    /// Offset of the last record applied; 0 before the first.
    [[nodiscard]] std::uint64_t applied_offset() const { return applied_offset_; }
    /// Offset of the last accepted initial deployment or plan.
    [[nodiscard]] std::uint64_t config_version() const { return config_version_; }
    /// Offset of the last record that changed a shard.
    [[nodiscard]] std::uint64_t shards_version() const { return shards_version_; }
    /// Offset of the newest complete snapshot seen in the log; 0 when none.
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
    [[nodiscard]] const plan_result* find_plan(const plan_id& plan) const;

    /// The whole state as bytes, and back. Equal states give equal bytes.
    [[nodiscard]] std::string serialise() const;
    static tl::expected<log_state, std::string> parse(std::string_view buf);

    /// Takes the other state when it is newer. Returns whether it did.
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
    apply_result apply_body(std::uint64_t offset, const record& it, const initial_deployment& body);
    apply_result apply_body(std::uint64_t offset, const record& it, const pair_change& body);
    apply_result apply_body(std::uint64_t offset, const record& it, const shard_moves& body);
    apply_result apply_body(std::uint64_t offset, const record& it, const moves_completed& body);
    apply_result apply_body(std::uint64_t offset, const record& it, const plan_confirmed& body);
    apply_result apply_body(std::uint64_t offset, const record& it, const snapshot_chunk& body);
    [[nodiscard]] std::string objection_to(const shard_move& move) const;
    [[nodiscard]] std::string objection_to(const plan_confirmed& body) const;
    void make_move(std::uint64_t offset, std::uint32_t round, const shard_move& move);
    void place_shards(std::uint64_t offset, const service_entry& service);
    bool is_repeat(const record_id& id);

    std::uint64_t applied_offset_{};
    std::uint64_t config_version_{};
    std::uint64_t shards_version_{};
    std::uint64_t snapshot_offset_{};
    std::uint32_t chunks_seen_{};
    std::uint64_t chunks_as_of_{};
    std::map<service_id, service_entry> services_;
    std::map<server_id, server_entry> servers_;
    std::map<server_id, pair_entry> pairs_;
    std::map<shard_id, shard_entry> shards_;
    std::map<std::string, std::string> operator_settings_;
    std::vector<plan_result> plans_;
    std::vector<record_id> recent_ids_;
    /// recent_ids_ again, for look-up; not part of the serialised state.
    std::set<record_id> recent_set_;
};

} // namespace quincewing
