#include "quincewing/deployment/server_directory.hpp"

#include "quincewing/base/hash.hpp"
#include "quincewing/codec/codec.hpp"

#include <algorithm>
#include <set>
#include <utility>

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
        if (!of_copy(record.offset)) {
            apply_record(now, record);
            present.insert(server_id{record.key});
        } else if (apply_copied_record(now, record)) {
            present.insert(server_id{record.key});
        }
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
    note_read(end);
    known_ = true;
    name_list();
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
        note_read(log_offset{records.back().offset.value + 1});
    }
    // The answer may hold only some of the records up to end.
    (void)end;
    name_list();
}

void server_directory::on_store_era(instant now)
{
    read_offset_ = {};
    copy_end_.reset();
    copied_ = true;
    // Entries that the copy lacks are treated as those that expire during an outage.
    last_store_error_ = std::max(last_store_error_, now);
    for (auto& [id, due] : pending_removals_) {
        due = std::max(due, now + options_.renewal_time);
    }
    for (const auto& [id, server] : servers_) {
        if (server.draining) {
            drained_[id] = server.start;
        }
    }
    std::erase_if(drained_, [&](const auto& it) {
        return !servers_.contains(it.first) && !removed_.contains(it.first);
    });
}

bool server_directory::on_relayed(instant now, const std::vector<backend_server>& servers,
                                  log_offset read, log_offset changed)
{
    if (!as_new(read)) {
        return false;
    }
    const auto before = std::exchange(servers_, {});
    for (const auto& server : servers) {
        keep_draining(servers_.emplace(server.id, server).first->second);
    }
    std::erase_if(removed_, [&](const auto& it) { return servers_.contains(it.first); });
    for (const auto& [id, server] : before) {
        if (!servers_.contains(id)) {
            removed_[id] = now;
        }
    }
    pending_removals_.clear();
    note_read(read);
    changed_offset_ = changed;
    changed_ = false;
    known_ = true;
    relayed_ = true;
    return true;
}

void server_directory::on_confirmed(log_offset read)
{
    if (as_new(read)) {
        note_read(read);
    }
}

// A host that tells no offset has not read the store in this era.
bool server_directory::as_new(log_offset read) const
{
    const bool unread = copied_ && known_ && read == log_offset{};
    return read >= read_offset_ && !unread;
}

bool server_directory::of_copy(log_offset at) const
{
    return copied_ && (!copy_end_ || at < *copy_end_);
}

void server_directory::note_read(log_offset end)
{
    read_offset_ = std::max(read_offset_, end);
    if (copied_ && !copy_end_) {
        copy_end_ = read_offset_;
    }
}

void server_directory::tick(instant now)
{
    std::vector<server_id> due;
    for (const auto& [id, at] : pending_removals_) {
        if (now >= at) {
            due.push_back(id);
        }
    }
    for (const auto& id : due) {
        pending_removals_.erase(id);
        remove_now(now, id);
    }
    // Until the copy is read, it may be older than the memory by the time that this takes.
    if (!copied_ || copy_end_) {
        std::erase_if(removed_,
                      [&](const auto& it) { return now - it.second > options_.removal_memory; });
    }
    name_list();
}

std::optional<backend_server> server_directory::decode(const store_record& record)
{
    auto server = hooks_.decode(record);
    if (server) {
        return std::move(*server);
    }
    if (unreadable_[record.key] != server.error() && hooks_.on_unreadable) {
        hooks_.on_unreadable(record, server.error());
    }
    unreadable_[record.key] = server.error();
    return {};
}

void server_directory::apply_record(instant now, const store_record& record)
{
    const server_id id{record.key};
    if (!record.value) {
        remove(now, id);
        return;
    }
    auto server = decode(record);
    if (!server) {
        if (servers_.erase(id) > 0) {
            note_change();
        }
        return;
    }
    keep_draining(*server);
    pending_removals_.erase(id);
    removed_.erase(id);
    const auto [found, inserted] = servers_.try_emplace(id, *server);
    // The warm-up time left shrinks with every renewal, which does not count as a change.
    auto previous = found->second;
    const bool still_cold = previous.warm_up_left > 0 && server->warm_up_left > 0;
    previous.warm_up_left = still_cold ? server->warm_up_left : previous.warm_up_left;
    if (inserted || previous != *server) {
        found->second = *server;
        note_change();
    }
}

bool server_directory::apply_copied_record(instant now, const store_record& record)
{
    const server_id id{record.key};
    const auto known = servers_.find(id);
    if (known == servers_.end()) {
        if (!removed_.contains(id)) {
            apply_record(now, record);
        }
        return true;
    }
    if (pending_removals_.contains(id)) {
        return true;
    }
    const auto copied = record.value ? decode(record) : std::nullopt;
    if (!copied || copied->start < known->second.start) {
        return false;
    }
    const bool same_start = copied->start == known->second.start;
    if (!same_start || (copied->draining && !known->second.draining)) {
        apply_record(now, record);
    }
    return true;
}

void server_directory::keep_draining(backend_server& server) const
{
    const auto found = drained_.find(server.id);
    if (found != drained_.end() && found->second == server.start) {
        server.draining = true;
    }
}

// During a store outage the entries of live servers expire, so removals are delayed after one.
void server_directory::remove(instant now, const server_id& id)
{
    if (!servers_.contains(id)) {
        removed_[id] = now;
        return;
    }
    if (now - last_store_error_ < options_.renewal_time) {
        pending_removals_.try_emplace(id, last_store_error_ + options_.renewal_time);
        return;
    }
    remove_now(now, id);
}

void server_directory::remove_now(instant now, const server_id& id)
{
    if (servers_.erase(id) > 0) {
        removed_[id] = now;
        note_change();
    }
}

void server_directory::note_change()
{
    changed_ = true;
    relayed_ = false;
}

// By its contents: offsets go back with the store, and are given out again.
void server_directory::name_list()
{
    const bool named = relayed_ || changed_offset_ != log_offset{};
    if (!known_ || (named && !changed_)) {
        return;
    }
    changed_ = false;
    std::uint64_t name = 0;
    for (const auto& [id, server] : servers_) {
        auto lasting = server;
        lasting.warm_up_left = lasting.warm_up_left > 0 ? 1 : 0;
        name = stable_hash(codec::encode(lasting), name);
    }
    // Earlier builds count on from it, and 0 stands for no list.
    constexpr std::uint64_t upper_bit = 1ULL << 63U;
    changed_offset_ = log_offset{(name & (upper_bit - 1)) | 1U};
}

} // namespace quincewing
