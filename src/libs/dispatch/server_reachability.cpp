#include "quincewing/dispatch/server_reachability.hpp"

#include <algorithm>

namespace quincewing {

void server_reachability::set_servers(const std::set<server_id>& servers)
{
    servers_ = servers;
    const auto gone = [&](const server_id& it) { return !servers_.contains(it); };
    std::erase_if(failures_, [&](const auto& it) { return gone(it.first); });
    std::erase_if(not_connected_, [&](const auto& it) { return gone(it.first); });
    std::erase_if(broken_, gone);
    std::erase_if(checks_, gone);
    if (servers_.empty()) {
        end_cut();
    }
}

// One server that is reached ends a cut: the others are found out by requests if not.
void server_reachability::on_connected(instant now, const server_id& server)
{
    last_connected_ = now;
    failures_.erase(server);
    for (auto& [id, it] : failures_) {
        it.of_server = true;
    }
    not_connected_.clear();
    checks_.clear();
    failed_checks_ = 0;
    checked_ = true;
    const bool still_breaks = all_break_ && broken_.size() >= servers_to_fail();
    accepted_ = still_breaks;
    if (cut_off() && !still_breaks) {
        end_cut();
    }
}

// An answer on a connection that was open before says nothing of new ones.
void server_reachability::on_answer(instant now)
{
    last_answer_ = now;
    broken_.clear();
    if (all_break_) {
        end_cut();
    }
}

void server_reachability::end_cut()
{
    no_connects_ = false;
    all_break_ = false;
    accepted_ = false;
    failures_.clear();
    not_connected_.clear();
    broken_.clear();
    checks_.clear();
    failed_checks_ = 0;
}

void server_reachability::note_failure()
{
    checked_ = false;
    no_connects_ = no_connects_ || can_connect_to_none();
    all_break_ =
        !no_connects_ && (all_break_ || (!broken_.empty() && unanswered() >= servers_to_fail()));
}

std::size_t server_reachability::unanswered() const
{
    const auto n = std::count_if(not_connected_.begin(), not_connected_.end(), [&](const auto& it) {
        return it.second >= last_answer_ && !broken_.contains(it.first);
    });
    return broken_.size() + static_cast<std::size_t>(n);
}

bool server_reachability::can_connect_to_none() const
{
    const auto to_fail = servers_to_fail();
    return not_connected_.size() >= to_fail &&
           (failed_checks_ >= options_.cut_checks || to_fail < options_.cut_servers);
}

void server_reachability::on_broken(const server_id& server, instant since)
{
    if (servers_.contains(server) && since >= last_answer_) {
        broken_.insert(server);
        note_failure();
    }
}

// Once connections can't be made, the next one that can is the end of the cut, whatever broke
// before.
bool server_reachability::on_connect_failed(instant now, const server_id& server, instant since)
{
    if (!servers_.contains(server)) {
        return false;
    }
    const auto [found, inserted] = failures_.try_emplace(server);
    auto& it = found->second;
    it.backoff = std::clamp<duration>(it.backoff * 2, options_.min_backoff, options_.max_backoff);
    it.next_probe = now + it.backoff;
    const bool check = checks_.erase(server) > 0;
    if (!it.of_server && since >= last_connected_) {
        not_connected_.emplace(server, since);
        failed_checks_ += check ? 1 : 0;
        note_failure();
    }
    if (cut_off()) {
        no_connects_ = true;
        all_break_ = false;
        accepted_ = false;
        broken_.clear();
    }
    return inserted;
}

bool server_reachability::take_trial(instant now, bool idempotent)
{
    const auto interval = idempotent ? options_.trial_interval : options_.careful_trial_interval;
    if (!accepted_ || now - last_trial_ < interval) {
        return false;
    }
    last_trial_ = now;
    return true;
}

std::size_t server_reachability::servers_to_fail() const
{
    const auto down = std::count_if(failures_.begin(), failures_.end(),
                                    [](const auto& it) { return it.second.of_server; });
    const auto others = servers_.size() - static_cast<std::size_t>(down);
    return std::clamp<std::size_t>(others, 1, options_.cut_servers);
}

std::vector<server_id> server_reachability::unreachable() const
{
    if (cut_off()) {
        return {servers_.begin(), servers_.end()};
    }
    std::vector<server_id> out;
    for (const auto& [id, it] : failures_) {
        out.push_back(id);
    }
    return out;
}

std::vector<server_id> server_reachability::in_turn() const
{
    std::vector<server_id> out{servers_.begin(), servers_.end()};
    if (out.empty()) {
        return out;
    }
    const auto next =
        last_probed_.value.empty()
            ? out.begin() + static_cast<std::ptrdiff_t>(options_.first_probe % out.size())
            : std::upper_bound(out.begin(), out.end(), last_probed_);
    std::rotate(out.begin(), next, out.end());
    return out;
}

std::optional<server_id> server_reachability::next_probe(instant now)
{
    if (cut_off()) {
        if (accepted_ || now < next_cut_probe_) {
            return std::nullopt;
        }
        next_cut_probe_ = now + options_.cut_probe_interval;
        last_probed_ = in_turn().front();
        return last_probed_;
    }
    const auto due = std::find_if(failures_.begin(), failures_.end(),
                                  [&](const auto& it) { return now >= it.second.next_probe; });
    if (due != failures_.end()) {
        due->second.next_probe = now + due->second.backoff;
        return due->first;
    }
    return suspicious(now) ? next_check() : std::nullopt;
}

bool server_reachability::suspicious(instant now) const
{
    const bool quiet = now - std::max(last_connected_, last_answer_) > options_.quiet_time;
    const auto failed = not_connected_.size() + broken_.size();
    return !cut_off() && !checked_ && failed >= (quiet ? 1 : options_.suspicious_servers);
}

std::optional<server_id> server_reachability::next_check()
{
    const auto known = [&](const server_id& it) {
        return failures_.contains(it) || broken_.contains(it) || checks_.contains(it);
    };
    const auto servers = in_turn();
    const auto found = std::find_if_not(servers.begin(), servers.end(), known);
    if (cut_off() || found == servers.end()) {
        return std::nullopt;
    }
    last_probed_ = *found;
    checks_.insert(*found);
    return *found;
}

} // namespace quincewing
