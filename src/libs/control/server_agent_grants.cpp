#include "quincewing/control/server_agent.hpp"

#include "quincewing/base/invariant.hpp"

/// server_agent: commands to the server, and its silence.
namespace quincewing {

void server_agent::send_command(instant now, server_command it, effects& out)
{
    it.number = hooks_.next_command_number();
    it.server = server_;
    it.lease = options_.grant_lease;
    commands_[it.number] = {.kind = it.kind, .sent = now, .items = it.items};
    out.commands.push_back(std::move(it));
}

void server_agent::renew_grants(instant now, effects& out)
{
    if (!acting_ || now < next_renewal_) {
        return;
    }
    next_renewal_ = now + options_.renew_interval;
    // Commands that were not answered in this time are given up.
    std::erase_if(commands_, [&](const auto& it) {
        return now - it.second.sent > options_.grant_lease + options_.server_patience;
    });
    server_command grants{.kind = command_kind::grant};
    const bool may_grant = !lost_since_ && options_.checks_fences && server_clock_ > 0;
    for (const auto& [shard, held] : held_) {
        const bool granted = held.phase == shard_phase::serving ||
                             held.phase == shard_phase::granting ||
                             held.phase == shard_phase::draining;
        // The fence of a drain inherited from another leader is unknown, so its grant is not
        // renewed.
        if (may_grant && granted && held.fence.offset > 0) {
            grants.items.push_back({.shard = shard, .fence = held.fence});
        }
    }
    // The server read its clock before its answer arrived, so the clock has advanced by at least
    // this much.
    const auto elapsed = static_cast<std::uint64_t>((now - server_clock_received_at_).count());
    const auto lease = static_cast<std::uint64_t>(options_.grant_lease.count());
    grants.until = server_clock_ + elapsed + lease;
    send_command(now, std::move(grants), out);
}

void server_agent::start_serving(instant now, const shard_id& shard, held_shard& held, effects& out)
{
    check_invariant(leading_ && acting_, "only an acting leader starts to serve a shard");
    held.phase = shard_phase::serving;
    held.phase_since = now;
    const auto waiting = std::move(held.waiting);
    held.waiting.clear();
    for (const auto id : waiting) {
        const auto found = requests_.find(id);
        if (found != requests_.end()) {
            begin_on_shard(now, found->second, out);
        }
    }
    (void)shard;
}

void server_agent::on_command_result(instant now, std::uint64_t number, const command_reply& reply,
                                     effects& out)
{
    const auto result = reply.result;
    const auto found = commands_.find(number);
    if (found == commands_.end() || !leading_) {
        return;
    }
    const auto sent = std::move(found->second);
    commands_.erase(found);
    if (result == command_result::no_answer || result == command_result::process_gone) {
        on_server_silence(now, result == command_result::process_gone, out);
        return;
    }
    const bool first_clock = server_clock_ == 0 && reply.server_clock > 0;
    if (reply.server_clock > 0) {
        server_clock_ = reply.server_clock;
        server_clock_received_at_ = now;
    }
    if (first_clock) {
        next_renewal_ = now;
    }
    on_server_answer(out);
    for (const auto& item : sent.items) {
        const auto held = held_.find(item.shard);
        if (held == held_.end() || !acting_) {
            continue;
        }
        const auto& expected =
            sent.kind == command_kind::revoke ? held->second.leaving_fence : held->second.fence;
        if (expected != item.fence) {
            continue;
        }
        const bool done = result == command_result::done;
        if (sent.kind == command_kind::revoke && held->second.phase == shard_phase::revoking &&
            done) {
            held->second.phase = shard_phase::released;
        } else if (sent.kind == command_kind::grant && done &&
                   held->second.phase == shard_phase::granting) {
            start_serving(now, item.shard, held->second, out);
        }
    }
    dispatch_queued(now, out);
}

void server_agent::on_server_answer(effects& out)
{
    silent_since_.reset();
    process_gone_ = false;
    if (!lost_since_) {
        return;
    }
    lost_since_.reset();
    queue_.reset_limit();
    out.add_change("server_back", server_.value);
}

// Grants again the shards that the log left with this server while it was lost.
void server_agent::regrant_released(instant now, const log_state& log)
{
    for (auto& [shard, held] : held_) {
        const auto entry = log.shards().find(shard);
        const auto fact = facts_.find(shard);
        const bool given = fact != facts_.end() && !fact->second.given_to.value.empty();
        const bool stopped = held.phase == shard_phase::released ||
                             held.phase == shard_phase::revoking ||
                             held.phase == shard_phase::draining;
        if (stopped && !given && entry != log.shards().end() && entry->second.owner == server_) {
            held.phase = shard_phase::granting;
            held.phase_since = now;
        }
    }
}

void server_agent::on_server_silence(instant now, bool gone, effects& out)
{
    if (!acting_) {
        return;
    }
    silent_since_ = silent_since_.value_or(now);
    const bool within_patience = now - *silent_since_ < options_.server_patience;
    if (lost_since_) {
        process_gone_ = process_gone_ || gone;
        return;
    }
    if (gone) {
        process_gone_ = true;
        mark_server_lost(now, out);
    } else if (!within_patience) {
        mark_server_lost(now, out);
    }
}

void server_agent::mark_server_lost(instant now, effects& out)
{
    lost_since_ = now;
    moves_proposed_at_.reset();
    out.add_change("server_lost", server_.value, process_gone_ ? "process gone" : "silent");
    for (auto& [shard, held] : held_) {
        if (held.phase == shard_phase::serving || held.phase == shard_phase::granting) {
            held.phase = shard_phase::draining;
            held.phase_since = now;
        }
    }
}

} // namespace quincewing
