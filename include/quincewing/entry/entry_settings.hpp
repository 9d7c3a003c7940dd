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

/// Settings of an entry host whose deployment lives in the platform's store.
struct entry_settings
{
    std::string name;
    std::string data_centre;
    /// "ip:port" for callers, for the balancer's question, for other hosts, for metrics.
    std::string callers;
    std::string readiness;
    std::string peers;
    std::string metrics;
    /// "ip:port" of the store.
    std::string store;
    deployment_bounds bounds;
    /// Bytes of an answer that wait in this host for a slow caller.
    std::uint64_t answer_buffer{256UL * 1024};
    /// Answers of repeatable requests up to this size are held until they are whole, so that a
    /// broken one can be asked for again.
    std::uint64_t held_answer{128UL * 1024};
    /// Longest request body that is taken; the configuration may allow less.
    std::uint64_t request_body{8UL * 1024 * 1024};
    /// A request that may not run twice takes no connection that was idle for longer.
    duration fresh_connection{seconds{3}};
};

/// Whether a settings file is for an entry host on the platform.
bool has_entry_settings(const settings_file& file);

/// The settings, or everything that is wrong with them.
tl::expected<entry_settings, std::vector<settings_error>> read_entry_settings(settings_file& file);

} // namespace quincewing
