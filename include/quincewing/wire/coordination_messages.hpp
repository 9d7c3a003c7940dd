#pragma once

#include "quincewing/assignment/table_change.hpp"
#include "quincewing/deployment/evacuations.hpp"
#include "quincewing/deployment/server_changes.hpp"
#include "quincewing/routing/configuration_changes.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace quincewing {

/// Coordinator to all: what it knows, by version. Sent a few times a second.
struct coordinator_beat
{
    std::uint64_t term{};
    std::uint64_t table_revision{};
    /// Counts the changes of which grants are in force.
    std::uint64_t held_revision{};
    /// Offset up to which the servers are known, and of their last change.
    std::uint64_t servers_read{};
    std::uint64_t servers_changed{};
    std::uint64_t configuration{};
    /// Microseconds since the reads behind these were sent.
    std::uint64_t table_age{};
    std::uint64_t servers_age{};
    /// Since the read that showed the configuration as the newest; see told_beat.
    std::uint64_t configuration_age{};
    /// Where the configuration is stored.
    std::uint64_t configuration_offset{};
    /// The store's era that the sender knows, in which the offsets are; 0: none.
    store_era era;
    /// Era in which the table was stored.
    store_era table_era;
    evacuation_state evacuations;
    template <class F>
    void each_field(F&& f)
    {
        f(term);
        f(table_revision);
        f(held_revision);
        f(servers_read);
        f(servers_changed);
        f(configuration);
        f(table_age);
        f(servers_age);
        f(configuration_age);
        f(configuration_offset);
        f(era);
        f(table_era);
        f(evacuations);
    }
    [[nodiscard]] bool same_table(const coordinator_beat& other) const
    {
        return term == other.term && table_revision == other.table_revision &&
               table_era == other.table_era;
    }
};

/// Asks the coordinator for what the sender lacks.
struct news_request
{
    /// Of the table that the sender has, and where the list of servers that it has changed last; 0
    /// if it has none. Hosts that speak 1 tell the coordinator's term and no more.
    std::uint64_t term{};
    std::uint64_t table_revision{};
    std::uint64_t servers_changed{};
    store_era table_era;

    template <class F>
    void each_field(F&& f)
    {
        f(term);
        f(table_revision);
        f(servers_changed);
        f(table_era);
    }
};

/// What changed at the coordinator; a part that is missing did not.
struct coordinator_news
{
    coordinator_beat versions;
    std::optional<assignment_table> table;
    /// For each range of the table, whether its grant is in force.
    std::optional<std::vector<std::uint8_t>> held;
    std::optional<std::vector<backend_server>> servers;
    /// In place of the whole table or list, when the receiver is taken to know the earlier one.
    std::optional<table_change> table_changes;
    std::optional<server_changes> servers_changes;
    /// Only if they are small: hosts read a large change from the store.
    std::optional<quincewing::configuration_changes> configuration_changes;

    template <class F>
    void each_field(F&& f)
    {
        f(versions);
        f(table);
        f(held);
        f(servers);
        f(table_changes);
        f(servers_changes);
        f(configuration_changes);
    }
};

/// Asks for the configuration; sent by a host that the store does not answer.
struct configuration_request
{
    /// The version that the sender has; 0: none.
    config_version version;

    template <class F>
    void each_field(F&& f)
    {
        f(version);
    }
};

/// The sender's configuration.
struct configuration_reply
{
    config_version version;
    /// Where it is stored.
    std::uint64_t offset{};
    /// Microseconds since the sending of a read that showed it as the newest.
    std::uint64_t age{};
    /// The whole; missing if the receiver has this version or a newer one.
    std::optional<configuration_changes> whole;
    /// Era of the store in which the offset is; 0: not known.
    store_era era;
    evacuation_state evacuations;

    template <class F>
    void each_field(F&& f)
    {
        f(version);
        f(offset);
        f(age);
        f(whole);
        f(era);
        f(evacuations);
    }
};

/// Requests for one key since the last report.
struct key_load
{
    service_id service;
    key_number key{};
    std::uint32_t requests{};

    template <class F>
    void each_field(F&& f)
    {
        f(service);
        f(key);
        f(requests);
    }
};

/// Time that a server took for requests since the last report, on average.
struct server_load_report
{
    server_id server;
    std::uint64_t work{};
    /// Lowest slowness that the server reported since the previous load report, in percent of
    /// usual; 0: none was reported. See attempt_report::slowness.
    std::uint32_t slowness{};

    template <class F>
    void each_field(F&& f)
    {
        f(server);
        f(work);
        f(slowness);
    }
};

/// Any host to the coordinator.
struct load_report
{
    std::vector<key_load> keys;
    std::vector<server_load_report> servers;

    template <class F>
    void each_field(F&& f)
    {
        f(keys);
        f(servers);
    }
};

/// The sender has coordinated, and its name is out of the table.
struct term_given_up
{
    std::uint64_t term{};

    template <class F>
    void each_field(F&& f)
    {
        f(term);
    }
};

} // namespace quincewing
