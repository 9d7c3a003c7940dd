#pragma once

#include "store.hpp"

#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

/// A process of the fleet, killed at the latest when this object ends.
class child
{
public:
    child(const std::vector<std::string>& arguments, const std::string& log);
    ~child();
    child(child&& from) noexcept;
    child& operator=(child&&) = delete;

    void signal(int number) const;
    void kill_and_wait();
    [[nodiscard]] pid_t id() const { return id_; }
    /// How it ended, as waitpid() tells; empty while it runs.
    std::optional<int> ended();

private:
    pid_t id_{};
    std::optional<int> status_;
};

struct host_addresses
{
    std::string callers;
    std::string readiness;
    std::string peers;
    std::string metrics;
};

struct fleet_options
{
    /// A temporary folder for settings, logs and journals.
    std::string folder;
    /// The project's program, as the deploy file builds it.
    std::string program;
    /// The stand-in of an endpoint.
    std::string endpoint_program;
    /// The operator's first configuration.
    std::string configuration;
};

/// Entry hosts, endpoints and the platform's store on loopback.
class fleet
{
public:
    explicit fleet(fleet_options options);

    void add_host();
    /// Flags are those of the endpoint program.
    void add_endpoint(const std::string& id, const std::string& service, const std::string& address,
                      const std::vector<std::string>& flags = {});
    [[nodiscard]] child& endpoint(const std::string& id);
    [[nodiscard]] child& host(std::size_t number) { return hosts_.at(number); }
    [[nodiscard]] std::size_t hosts() const { return hosts_.size(); }
    [[nodiscard]] const host_addresses& at(std::size_t host) const { return addresses_.at(host); }
    /// All hosts say that they are ready.
    [[nodiscard]] bool wait_ready(long long timeout_ms) const;
    [[nodiscard]] std::string journal() const { return options_.folder + "/journal"; }
    [[nodiscard]] bool coordinates(std::size_t host) const;
    /// Waits until the entry of an endpoint was just written.
    void wait_heartbeat(const std::string& id);

private:
    fleet_options options_;
    /// Its threads run until the process ends.
    store& store_;
    std::string store_address_;
    std::vector<host_addresses> addresses_;
    std::vector<child> hosts_;
    std::map<std::string, child> endpoints_;
};

/// A configuration of these services, with one route each at the path /SERVICE/.
std::string format_configuration(const std::vector<std::string>& services,
                                 const std::string& route_type, bool sharded);

} // namespace review
