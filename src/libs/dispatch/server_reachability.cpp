#include "quincewing/dispatch/server_reachability.hpp"

#include <algorithm>

namespace quincewing {

void server_reachability::set_servers(const std::set<server_id>& servers)
{
    servers_ = servers;
    const auto gone = [&](const server_id& it) { return !servers_.contains(it); };
    std::erase_if(failures_, [&](const auto& it) { return gone(it.first); });
    std::erase_if(not_connected_, gone);
    std::erase_if(broken_, gone);
    if (servers_.empty()) {
        end_cut();
    }
}

// One server that is reached ends a cut: the others are found out by requests if not.
void server_reachability::on_connected(const server_id& server)
{
    failures_.erase(server);
    not_connected_.clear();
    checked_ = true;
    if (!cut_off_) {
        return;
    }
    accepted_ = true;
    if (broken_.size() < servers_to_fail()) {
        end_cut();
    }
}

void server_reachability::on_answer()
{
    not_connected_.clear();
    broken_.clear();
    if (cut_off_) {
        end_cut();
    }
}

void server_reachability::end_cut()
{
    cut_off_ = false;
    accepted_ = false;
    failures_.clear();
    not_connected_.clear();
    broken_.clear();
}

void server_reachability::note_failure()
{
    checked_ = false;
    cut_off_ = cut_off_ || failed_in_a_row().size() >= servers_to_fail();
}

std::set<server_id> server_reachability::failed_in_a_row() const
{
    auto out = broken_;
    out.insert(not_connected_.begin(), not_connected_.end());
    return out;
}

void server_reachability::on_broken(const server_id& server)
{
    if (servers_.contains(server)) {
        broken_.insert(server);
        note_failure();
    }
}

// Once connections can't be made, the next one that can is the end of the cut, whatever broke
// before.
bool server_reachability::on_connect_failed(instant now, const server_id& server)
{
    if (!servers_.contains(server)) {
        return false;
    }
    const auto [found, inserted] = failures_.try_emplace(server);
    auto& it = found->second;
    it.backoff = std::clamp<duration>(it.backoff * 2, options_.min_backoff, options_.max_backoff);
    it.next_probe = now + it.backoff;
    if (inserted) {
        // One that was out of reach before says nothing new.
        not_connected_.insert(server);
        note_failure();
    }
    if (cut_off_) {
        broken_.clear();
        accepted_ = false;
    }
    return inserted;
}

bool server_reachability::take_trial(instant now, bool idempotent)
{
    const auto interval = idempotent ? options_.trial_interval : options_.careful_trial_interval;
    if (!cut_off_ || !accepted_ || now - last_trial_ < interval) {
        return false;
    }
    last_trial_ = now;
    return true;
}

std::size_t server_reachability::servers_to_fail() const
{
    return std::clamp<std::size_t>(servers_.size(), 1, options_.cut_servers);
}

std::vector<server_id> server_reachability::unreachable() const
{
    if (cut_off_) {
        return {servers_.begin(), servers_.end()};
    }
    std::vector<server_id> out;
    for (const auto& [id, it] : failures_) {
        out.push_back(id);
    }
    return out;
}

std::optional<server_id> server_reachability::next_probe(instant now)
{
    const auto due = std::find_if(failures_.begin(), failures_.end(),
                                  [&](const auto& it) { return now >= it.second.next_probe; });
    if (due != failures_.end()) {
        due->second.next_probe = now + due->second.backoff;
        return due->first;
    }
    // Connections broke, and none has been tried since.
    if (cut_off_ && !accepted_ && failures_.empty() && !broken_.empty()) {
        return *broken_.begin();
    }
    return server_to_check();
}

std::optional<server_id> server_reachability::server_to_check() const
{
    const auto failed = failed_in_a_row();
    if (cut_off_ || checked_ || failed.size() < options_.suspicious_servers) {
        return std::nullopt;
    }
    for (const auto& it : servers_) {
        if (!failed.contains(it) && !failures_.contains(it)) {
            return it;
        }
    }
    return std::nullopt;
}

} // namespace quincewing
