#pragma once

#include "quincewing/base/ids.hpp"
#include "quincewing/state/entries.hpp"

#include <string>
#include <variant>

namespace quincewing {

// Each kind is named after the word that operators use in their requests.

/// Add a backend server and move a fair share of the service's shards to it.
struct add_intent
{
    server_entry server;
};
/// Move all shards away from a server; it gets no new shards.
struct retire_intent
{
    server_id server;
};
/// Relieve the owner of a hot key: move its shards away, except that of the key.
struct spread_intent
{
    service_id service;
    std::string key;
};
/// Move a key's shard to a given server.
struct pin_intent
{
    service_id service;
    std::string key;
    server_id server;
};
/// Set one of log_state::operator_settings().
struct set_intent
{
    std::string name;
    std::string value;
};
/// Balance the load of a service's servers.
struct level_intent
{
    service_id service;
};

using intent =
    std::variant<add_intent, retire_intent, spread_intent, pin_intent, set_intent, level_intent>;

} // namespace quincewing
