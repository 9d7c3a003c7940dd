#pragma once

#include "quincewing/deployment/store_api.hpp"
#include "quincewing/routing/backend_server.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace quincewing {

struct server_directory_options
{
    /// Time that servers need after a store outage to renew entries that expired during it.
    duration renewal_time{seconds{2}};
    /// For how long a removed server is remembered; a copy of the store that is no older than this
    /// does not bring it back.
    duration removal_memory{seconds{60}};
};

struct server_directory_hooks
{
    /// Parses a server's record; the error says what is wrong with it.
    std::function<tl::expected<backend_server, std::string>(const store_record&)> decode;
    /// Called for a record that decode rejects, again only when its error changes.
    std::function<void(const store_record&, const std::string& error)> on_unreadable;
};

/// The backend servers that are registered in the store. Does no I/O and reads no clock.
class server_directory
{
public:
    server_directory(server_directory_options options, server_directory_hooks hooks);

    /// The newest record of every key, read up to end.
    void on_full_read(instant now, const std::vector<store_record>& records, log_offset end);
    /// Records read from read_offset() on.
    void on_records(instant now, const std::vector<store_record>& records, log_offset end);
    /// A read of the store failed.
    void on_store_error(instant now) { last_store_error_ = now; }
    /// The store came back from an older copy. Offsets of the earlier era are worth nothing, and
    /// the next read is to be a full one. What the copy tells is older than the list: a draining
    /// server stays so, a removed one is not back, and one that the copy lacks has renewal_time.
    void on_store_era(instant now);
    /// Takes over the list of another host unless the own was read further. True: it was taken
    /// over.
    bool on_relayed(instant now, const std::vector<backend_server>& servers, log_offset read,
                    log_offset changed);
    /// Another host has the same list, read up to this offset.
    void on_confirmed(log_offset read);
    /// Whether the list of another host, by its offsets, differs from the own and was read at least
    /// as far.
    [[nodiscard]] bool behind(log_offset read, log_offset changed) const
    {
        return changed != changed_offset_ && as_new(read);
    }
    /// Carries out the removals that are due; see server_directory_options::renewal_time.
    void tick(instant now);

    [[nodiscard]] const backend_servers& servers() const { return servers_; }
    /// Offset up to which the stream was read; 0 until it is in the store's era.
    [[nodiscard]] log_offset read_offset() const { return read_offset_; }
    /// Names the list: hosts with equal lists have the same, in every era. 0: no list is known.
    /// Earlier builds tell the offset of the last change here; it is only compared for equality.
    [[nodiscard]] log_offset changed_offset() const { return changed_offset_; }
    /// Whether the list was ever read in full or taken over.
    [[nodiscard]] bool known() const { return known_; }
    /// The list is as another host sent it: no own read has changed it since.
    [[nodiscard]] bool relayed() const { return relayed_; }

private:
    /// A list that was read up to there is no older than the own.
    [[nodiscard]] bool as_new(log_offset read) const;
    /// The store had the record already when it came back.
    [[nodiscard]] bool of_copy(log_offset at) const;
    void note_read(log_offset end);
    [[nodiscard]] std::optional<backend_server> decode(const store_record& record);
    void apply_record(instant now, const store_record& record);
    /// Whether the record shows the entry of the server as it is known.
    bool apply_copied_record(instant now, const store_record& record);
    void keep_draining(backend_server& server) const;
    void remove(instant now, const server_id& id);
    void remove_now(instant now, const server_id& id);
    void note_change();
    void name_list();

    server_directory_options options_;
    server_directory_hooks hooks_;
    backend_servers servers_;
    /// Servers whose removal waits for renewal_time, and when it is due.
    std::map<server_id, instant> pending_removals_;
    /// Servers that are gone, and since when.
    std::map<server_id, instant> removed_;
    /// The starts of servers that were draining when the store came back older.
    std::map<server_id, server_start> drained_;
    /// The last error of each record that could not be parsed, by key.
    std::map<std::string, std::string> unreadable_;
    log_offset read_offset_;
    log_offset changed_offset_;
    /// End of what was first read of the copy from which the store came back.
    std::optional<log_offset> copy_end_;
    instant last_store_error_{};
    bool known_{};
    bool relayed_{};
    /// The store came back older at least once.
    bool copied_{};
    /// The list has changed since it was named.
    bool changed_{};
};

} // namespace quincewing
