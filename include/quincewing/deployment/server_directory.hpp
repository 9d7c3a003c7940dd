#pragma once

#include "quincewing/deployment/store_api.hpp"
#include "quincewing/routing/backend_server.hpp"

#include <functional>
#include <map>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace quincewing {

struct server_directory_options
{
    /// Time that servers need after a store outage to renew entries that expired during it.
    duration renewal_time{seconds{2}};
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
    /// Takes over the list of another host unless the own was read further. True: it was taken
    /// over.
    bool on_relayed(const std::vector<backend_server>& servers, log_offset read,
                    log_offset changed);
    /// Another host has the same list, read up to this offset.
    void on_confirmed(log_offset read) { read_offset_ = std::max(read_offset_, read); }
    /// Whether the list of another host, by its offsets, differs from the own and was read at least
    /// as far.
    [[nodiscard]] bool behind(log_offset read, log_offset changed) const
    {
        return changed != changed_offset_ && read >= read_offset_;
    }
    /// Carries out the removals that are due; see server_directory_options::renewal_time.
    void tick(instant now);

    [[nodiscard]] const backend_servers& servers() const { return servers_; }
    /// Offset up to which the stream was read.
    [[nodiscard]] log_offset read_offset() const { return read_offset_; }
    /// Offset of the last change of the list; grows with every change.
    [[nodiscard]] log_offset changed_offset() const { return changed_offset_; }
    /// Whether the list was ever read in full or taken over.
    [[nodiscard]] bool known() const { return known_; }
    /// The list is as another host sent it: no own read has changed it since.
    [[nodiscard]] bool relayed() const { return relayed_; }

private:
    void apply_record(instant now, const store_record& record);
    void remove(instant now, const server_id& id);
    void set_changed(log_offset at);

    server_directory_options options_;
    server_directory_hooks hooks_;
    backend_servers servers_;
    /// Servers whose removal waits for renewal_time, and when it is due.
    std::map<server_id, instant> pending_removals_;
    /// The last error of each record that could not be parsed, by key.
    std::map<std::string, std::string> unreadable_;
    log_offset read_offset_;
    log_offset changed_offset_;
    instant last_store_error_{};
    bool known_{};
    bool relayed_{};
};

} // namespace quincewing
