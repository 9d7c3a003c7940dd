#pragma once

#include "quincewing/deployment/server_directory.hpp"
#include "quincewing/entry/host_context.hpp"

#include <functional>
#include <string>

namespace quincewing {

struct store_follower_hooks
{
    std::function<void()> on_servers;
    std::function<void()> on_configuration;
};

/// For whom a host reads the store.
enum class reading_for
{
    nobody,
    /// It does not hear the coordinator.
    itself,
    /// It coordinates.
    all
};

/// Reads the servers and the operators' configuration from the store, as often as it has to: the
/// coordinator always, any other host while it does not hear from the coordinator.
class store_follower
{
public:
    store_follower(host_context context, store_follower_hooks hooks);

    /// Reads by itself, or leaves it to another host's news.
    void set_reading(reading_for it);
    /// News of another host. The record is the configuration as the store holds it.
    void on_relayed_servers(const std::vector<backend_server>& servers, log_offset read,
                            log_offset changed);
    void on_relayed_configuration(const store_record& record);
    void confirm_servers(log_offset read) { directory_.on_confirmed(read); }
    void tick(instant now);

    [[nodiscard]] const server_directory& directory() const { return directory_; }
    /// The configuration in force, as the store holds it.
    [[nodiscard]] const store_record& configuration_record() const { return configuration_; }
    [[nodiscard]] duration servers_age(instant now) const { return now - servers_sent_; }
    [[nodiscard]] duration configuration_age(instant now) const
    {
        return now - configuration_sent_;
    }
    [[nodiscard]] bool configured() const { return context_.view.routes().configured(); }

private:
    void read_servers();
    void take_servers(instant sent, const store_page& page, bool newest);
    void read_configuration();
    void take_configuration(instant sent, const store_page& page, bool newest);
    void apply_configuration(const store_record& record);
    void publish_servers();
    void note_store(store_status status);

    host_context context_;
    store_follower_hooks hooks_;
    server_directory directory_;
    log_offset published_;
    bool published_once_{};
    store_record configuration_;
    log_offset configuration_end_;
    bool configuration_read_{};
    bool servers_newest_wanted_{true};
    bool configuration_newest_wanted_{true};
    bool reading_{true};
    bool servers_busy_{};
    bool configuration_busy_{};
    bool store_reachable_{true};
    duration pause_{millis{300}};
    duration servers_period_{millis{350}};
    instant next_servers_{};
    instant next_configuration_{};
    instant servers_sent_{};
    instant configuration_sent_{};
};

} // namespace quincewing
