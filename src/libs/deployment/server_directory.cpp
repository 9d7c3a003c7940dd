#include "quincewing/deployment/server_directory.hpp"

#include <algorithm>
#include <set>

namespace quincewing {

server_directory::server_directory(server_directory_options options, server_directory_hooks hooks)
    : options_(options), hooks_(std::move(hooks))
{
}

void server_directory::on_full_read(instant now, const std::vector<store_record>& records,
                                    log_offset end)
{
    if (end < read_offset_) {
        return;
    }
    std::set<server_id> present;
    for (const auto& record : records) {
        apply_record(now, record);
        present.insert(server_id{record.key});
    }
    std::vector<server_id> missing;
    for (const auto& [id, server] : servers_) {
        if (!present.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const auto& id : missing) {
        remove(now, id);
    }
    read_offset_ = end;
    known_ = true;
}

void server_directory::on_records(instant now, const std::vector<store_record>& records,
                                  log_offset end)
{
    for (const auto& record : records) {
        if (record.offset >= read_offset_) {
            apply_record(now, record);
        }
    }
    if (!records.empty()) {
        read_offset_ = std::max(read_offset_, log_offset{records.back().offset.value + 1});
    }
    // The answer may hold only some of the records up to end.
    (void)end;
}

bool server_directory::on_relayed(const std::vector<backend_server>& servers, log_offset read,
                                  log_offset changed)
{
    if (read < read_offset_) {
        return false;
    }
    servers_.clear();
    for (const auto& server : servers) {
        servers_.emplace(server.id, server);
    }
    pending_removals_.clear();
    read_offset_ = read;
    changed_offset_ = changed;
    known_ = true;
    relayed_ = true;
    return true;
}

void server_directory::tick(instant now)
{
    for (auto it = pending_removals_.begin(); it != pending_removals_.end();) {
        if (now < it->second) {
            ++it;
            continue;
        }
        servers_.erase(it->first);
        set_changed(read_offset_);
        it = pending_removals_.erase(it);
    }
}

void server_directory::apply_record(instant now, const store_record& record)
{
    const server_id id{record.key};
    if (!record.value) {
        remove(now, id);
        return;
    }
    auto server = hooks_.decode(record);
    if (!server) {
        if (unreadable_[record.key] != server.error() && hooks_.on_unreadable) {
            hooks_.on_unreadable(record, server.error());
        }
        unreadable_[record.key] = server.error();
        if (servers_.erase(id) > 0) {
            set_changed(record.offset);
        }
        return;
    }
    pending_removals_.erase(id);
    const auto [found, inserted] = servers_.try_emplace(id, *server);
    // The warm-up time left shrinks with every renewal, which does not count as a change.
    auto previous = found->second;
    previous.warm_up_left = server->warm_up_left;
    if (inserted || previous != *server) {
        found->second = *server;
        set_changed(record.offset);
    }
}

// During a store outage the entries of live servers expire, so removals are delayed after one.
void server_directory::remove(instant now, const server_id& id)
{
    if (!servers_.contains(id)) {
        return;
    }
    if (now - last_store_error_ < options_.renewal_time) {
        pending_removals_.try_emplace(id, last_store_error_ + options_.renewal_time);
        return;
    }
    servers_.erase(id);
    set_changed(read_offset_);
}

// Uses the offset in the stream, so that hosts with the same list agree on it.
void server_directory::set_changed(log_offset at)
{
    changed_offset_ = std::max(log_offset{changed_offset_.value + 1}, at);
    relayed_ = false;
}

} // namespace quincewing
