#pragma once

#include "quincewing/base/time.hpp"
#include "quincewing/deployment/deployment_bounds.hpp"
#include "quincewing/settings/settings_error.hpp"
#include "quincewing/settings/settings_file.hpp"

#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace quincewing {

/// Settings of an entry host, from the sections [entry] and [bounds] of its settings file.
struct entry_settings
{
    std::string name;
    std::string data_centre;
    /// Listening addresses ("ip:port") for callers, for the load balancer's readiness checks, for
    /// other entry hosts and for metrics.
    std::string callers;
    std::string readiness;
    std::string peers;
    std::string metrics;
    /// Address ("ip:port") of the store.
    std::string store;
    /// The ip that connections to servers leave from; empty: the system's choice.
    std::string servers_from;
    /// Processor cores that the host may use; 0: not known. Hosts with more coordinate first.
    double cores{};
    /// The deployment starts for the first time, so that an empty store has lost nothing.
    bool first_start{true};
    deployment_bounds bounds;
    /// Bytes of one response that are buffered for a slow caller.
    std::uint64_t answer_buffer{256UL * 1024};
    /// Responses to repeatable requests up to this many bytes are buffered until complete, so that
    /// the request can be retried when the server's connection breaks midway.
    std::uint64_t held_answer{128UL * 1024};
    /// Upper limit of a request body in bytes; the operators' configuration may set a lower one.
    std::uint64_t request_body{8UL * 1024 * 1024};
    /// Requests that must not run twice are not sent on connections that were idle for longer, as
    /// the server may close those at any moment.
    duration fresh_connection{seconds{3}};
    /// Requests that a server gets beyond its slots while many wait, for each slot.
    std::uint64_t extra_grants{0};
    /// Bytes of memory that the host may use; 0: not known.
    std::uint64_t memory{};
    /// Share of it that callers may take up with bodies, buffered input and unread answers.
    double caller_memory{0.3};
    /// Descriptors that the host may open; 0: as many as the system allows.
    std::uint64_t descriptors{};
    /// Share of them for connections of callers; the rest is for servers, store, peers and files.
    double caller_descriptors{0.6};
};

/// Whether a settings file has the section of an entry host.
bool has_entry_settings(const settings_file& file);

/// Reads and checks the settings; returns all errors found if there are any.
tl::expected<entry_settings, std::vector<settings_error>> read_entry_settings(settings_file& file);

} // namespace quincewing
