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
    if (end < read_) {
        return;
    }
    std::set<server_id> present;
    for (const auto& it : records) {
        take(now, it);
        present.insert(server_id{it.key});
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
    read_ = end;
    known_ = true;
}

void server_directory::on_records(instant now, const std::vector<store_record>& records,
                                  log_offset end)
{
    for (const auto& it : records) {
        if (it.offset >= read_) {
            take(now, it);
        }
    }
    if (!records.empty()) {
        read_ = std::max(read_, log_offset{records.back().offset.value + 1});
    }
    // An answer may hold fewer records than there are.
    (void)end;
}

bool server_directory::on_relayed(const std::vector<backend_server>& servers, log_offset read,
                                  log_offset changed)
{
    if (read < read_) {
        return false;
    }
    servers_.clear();
    for (const auto& it : servers) {
        servers_.emplace(it.id, it);
    }
    removals_.clear();
    read_ = read;
    changed_ = changed;
    known_ = true;
    relayed_ = true;
    return true;
}

void server_directory::tick(instant now)
{
    for (auto it = removals_.begin(); it != removals_.end();) {
        if (now < it->second) {
            ++it;
            continue;
        }
        servers_.erase(it->first);
        note_change(read_);
        it = removals_.erase(it);
    }
}

void server_directory::take(instant now, const store_record& record)
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
            note_change(record.offset);
        }
        return;
    }
    removals_.erase(id);
    const auto [found, fresh] = servers_.try_emplace(id, *server);
    // How long it stays slow shrinks with every sign of life and is no change.
    auto same = found->second;
    same.warm_up_left = server->warm_up_left;
    if (fresh || same != *server) {
        found->second = *server;
        note_change(record.offset);
    }
}

// While the store is away entries lapse although their servers live.
void server_directory::remove(instant now, const server_id& id)
{
    if (!servers_.contains(id)) {
        return;
    }
    if (now - trouble_ < options_.return_time) {
        removals_.try_emplace(id, trouble_ + options_.return_time);
        return;
    }
    servers_.erase(id);
    note_change(read_);
}

// The last change by offset: two hosts that know the same have the same.
void server_directory::note_change(log_offset at)
{
    changed_ = std::max(log_offset{changed_.value + 1}, at);
    relayed_ = false;
}

} // namespace quincewing
