#pragma once

#include "quincewing/deployment/server_directory.hpp"
#include "quincewing/entry/host_context.hpp"

#include <functional>
#include <string>

namespace quincewing {

struct store_follower_hooks
{
    std::function<void()> on_servers;
};

/// Why a host reads the store; decides how often it does.
enum class read_mode
{
    /// Does not read: the coordinating host relays what it reads.
    off,
    /// Reads for itself: it gets no up-to-date data from the coordinating host.
    standalone,
    /// This host coordinates and relays to the others.
    coordinator
};

/// Keeps this host's view of the servers up to date, either from the store or from what the
/// coordinating host relays.
class store_follower
{
public:
    store_follower(host_context context, store_follower_hooks hooks);

    void set_read_mode(read_mode mode);
    /// Data relayed by the coordinating host. read is the offset up to which it has read the
    /// stream, changed the offset of the last change.
    void on_relayed_servers(const std::vector<backend_server>& servers, log_offset read,
                            log_offset changed);
    /// The coordinating host has read up to this offset and has the same servers.
    void confirm_servers(log_offset read);
    /// The store came back from an older copy.
    void on_store_era(instant now);
    void tick(instant now);

    [[nodiscard]] const server_directory& directory() const { return directory_; }
    /// Time since the data was last known to match the store.
    [[nodiscard]] duration servers_age(instant now) const { return now - servers_as_of_; }

private:
    void continue_from(log_offset told);
    void read_servers();
    void on_servers_page(instant sent, const store_page& page, bool snapshot);
    void publish_servers();
    void update_store_status(store_status status);

    host_context context_;
    store_follower_hooks hooks_;
    server_directory directory_;
    log_offset published_offset_;
    bool published_once_{};
    /// The next read must fetch the newest record of every key, not continue from an offset.
    bool servers_snapshot_needed_{true};
    bool reading_{true};
    bool servers_read_pending_{};
    bool store_reachable_{true};
    duration retry_pause_{millis{300}};
    duration servers_period_{millis{350}};
    instant next_servers_read_{};
    /// When the data was last known to match the store.
    instant servers_as_of_{};
};

} // namespace quincewing
