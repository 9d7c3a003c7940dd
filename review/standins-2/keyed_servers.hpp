#pragma once

#include "entry_fleet.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

namespace quincewing::review {

/// Keys that two servers of a service held at the same time.
struct shared_keys
{
    std::string keys{"no keys"};
    long long time_ns{};
    std::string servers{"none"};
};

/// Backend servers of several services that own keys, beside a fleet without servers.
class keyed_servers
{
public:
    explicit keyed_servers(const testing::entry_fleet& fleet) : fleet_(fleet) {}

    /// Writes a configuration in which these services are divided by key.
    void configure(const std::vector<std::string>& services) const;
    /// Starts it at an address of its own.
    void start(const std::string& id, const std::string& service);
    /// Starts it at this address, and returns once it takes requests.
    void start_at(const std::string& id, const std::string& service, const std::string& address);
    void write_entry(const std::string& id) const;
    /// Ends its process; its entry stays. Returns its address.
    std::string kill(const std::string& id);
    void remove_entry(const std::string& id) const;
    [[nodiscard]] bool all_hold_keys() const;
    /// What the servers took and gave up.
    void write_record(std::ostream& to) const;
    /// The longest time for which two servers of the service that were up held the same keys.
    [[nodiscard]] shared_keys longest_shared(const std::string& service) const;

private:
    struct server
    {
        std::string service;
        std::string address;
        std::unique_ptr<testing::child_process> process;
        /// Unix milliseconds.
        long long born{};
        /// Of the machine's monotonic clock; 0: it is up.
        long long ended_ns{};
    };
    /// Keys that a server held from one time to another.
    struct hold
    {
        std::uint32_t first{};
        std::uint32_t last{};
        long long from_ns{};
        long long to_ns{};
    };

    [[nodiscard]] std::string journal_of(const std::string& id) const;
    [[nodiscard]] std::vector<hold> holds_of(const std::string& id) const;

    const testing::entry_fleet& fleet_;
    std::map<std::string, server> servers_;
};

} // namespace quincewing::review
