#pragma once

#include "quincewing/assignment/coordinator_effects.hpp"
#include "quincewing/deployment/store_api.hpp"
#include "quincewing/deployment/wire_names.hpp"
#include "quincewing/routing/backend_server.hpp"
#include "quincewing/routing/configuration.hpp"

#include <functional>
#include <string>
#include <tl/expected.hpp>

namespace quincewing {

/// Calls to backend servers about the keys that they hold.
struct key_api
{
    /// done is told which connection carried the call.
    std::function<void(const grant_keys&, std::function<void(call_outcome, connection_number)>)>
        grant;
    /// The second argument of done is the proof of the orderly release, which may be empty.
    std::function<void(const release_keys&, std::function<void(call_outcome, std::string)>)>
        release;
};

/// Everything that depends on the platform, behind types of the product.
struct deployment_api
{
    store_api store;
    key_api keys;
    wire_names names;
    /// A server's record; the error says what is wrong with it.
    std::function<tl::expected<backend_server, std::string>(const store_record&)> decode_server;
    /// The configuration among the records of its stream; an error when it cannot be read.
    std::function<tl::expected<configuration, std::string>(const store_record&)>
        decode_configuration;
    /// Whether a record of the configuration stream holds the configuration.
    std::function<bool(const store_record&)> is_configuration;
};

} // namespace quincewing
