#pragma once

#include "quincewing/assignment/coordinator_effects.hpp"
#include "quincewing/deployment/evacuations.hpp"
#include "quincewing/deployment/server_notice.hpp"
#include "quincewing/deployment/store_api.hpp"
#include "quincewing/deployment/wire_names.hpp"
#include "quincewing/routing/backend_server.hpp"
#include "quincewing/routing/configuration.hpp"

#include <functional>
#include <optional>
#include <string>
#include <tl/expected.hpp>

namespace quincewing {

struct message_head;

/// What a call shows of the way to its server.
enum class call_way
{
    /// Nothing was sent, and no connection was tried.
    untried,
    /// No connection could be made.
    connect_failed,
    /// The call was sent and got no answer.
    broken,
    /// An answer came on a connection that was open before, and on one that was made for the call.
    answered,
    answered_anew
};

/// How a call that grants keys, takes them back or asks for a server's id ended.
struct key_call_result
{
    call_outcome outcome{call_outcome::unknown};
    call_way way{call_way::untried};
    /// The connection that carried the call.
    connection_number connection;
    /// The server's proof of an orderly release; may be empty.
    std::string handoff;
    /// What the answer says of the server.
    server_notice notice;
};

/// Calls that grant keys to backend servers and take them back. They share their connections.
struct key_api
{
    std::function<void(const grant_keys&, std::function<void(const key_call_result&)>)> grant;
    std::function<void(const release_keys&, std::function<void(const key_call_result&)>)> release;
    /// path: that of the service's health check, which answers with the server's id.
    std::function<void(const identify_server&, const std::string& path,
                       std::function<void(const key_call_result&)>)>
        identify;
};

/// Everything that depends on the platform, expressed in platform-independent types.
struct deployment_api
{
    store_api store;
    key_api keys;
    wire_names names;
    /// Parses a server's record; the error says what is wrong with it.
    std::function<tl::expected<backend_server, std::string>(const store_record&)> decode_server;
    /// Reads what an answer says of the server that gave it.
    std::function<server_notice(const message_head&)> decode_notice;
    /// Parses a record that holds the configuration; the error says what is wrong with it.
    std::function<tl::expected<configuration, std::string>(const store_record&)>
        decode_configuration;
    /// Whether a record of the configuration stream holds the configuration; others may share it.
    std::function<bool(const store_record&)> is_configuration;
    /// The order about a data centre that a record of the configuration stream holds, if it does.
    std::function<std::optional<evacuation_order>(const store_record&)> decode_evacuation;
};

} // namespace quincewing
